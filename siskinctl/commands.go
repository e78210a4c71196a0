package main

// command is a command of siskinctl. Its value is parsed into and then run with
// the app.
type command struct {
	name   string
	help   string
	newCmd func() any
}

// commands are all commands, in the order of the help.
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
