package main

// command is a command of siskinctl. newCmd returns a pointer to the struct that kong
// parses the command line into and whose Run method is called with the app.
type command struct {
	name   string
	help   string
	newCmd func() any
}

// commands lists all commands in the order in which the help shows them.
var commands = []command{
	showCommand,
	checkCommand,
	diffCommand,
	applyCommand,
	editCommand,
	setCommand,
	leaveCommand,
	historyCommand,
	versionsCommand,
	hostsCommand,
	stateCommand,
	explainCommand,
	completionCommand,
}
