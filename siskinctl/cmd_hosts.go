package main

var hostsCommand = command{"hosts", "Print the hosts.", func() any { return &hostsCmd{} }}

type hostsCmd struct{}

type hostListReply struct {
	Hosts []hostInfo `json:"hosts"`
}

// Run prints the host list.
func (c *hostsCmd) Run(a *app) error {
	hosts, err := a.hosts()
	if err != nil {
		return err
	}
	if a.JSON {
		return a.printJSON(hostListReply{hosts})
	}
	rows := [][]string{{"host", "availability_zone", "state", "caller_address", "operator_address"}}
	for _, h := range hosts {
		rows = append(rows, []string{h.ID, h.AvailabilityZone, orEmpty(h.State), orEmpty(h.CallerAddress), h.OperatorAddress})
	}
	a.printColumns(rows)
	return nil
}
