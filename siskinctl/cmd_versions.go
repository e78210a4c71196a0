package main

import "strconv"

var versionsCommand = command{"versions", "Print which version each host has in force.", func() any { return &versionsCmd{} }}

type versionsCmd struct {
	Wait    bool   `help:"Wait until every host that can be reached has it."`
	Version uint64 `help:"The version that is looked for instead of the newest." placeholder:"N"`
}

type versionsReply struct {
	Version uint64        `json:"version"`
	InForce bool          `json:"in_force"` // on every host that can be reached
	Hosts   []hostVersion `json:"hosts"`
}

// Run asks all hosts.
func (c *versionsCmd) Run(a *app) error {
	target, err := c.targetVersion(a)
	if err != nil {
		return err
	}
	versions, err := c.queryHosts(a, target)
	if err != nil {
		return err
	}
	if target == 0 {
		target = newestVersion(versions)
	}
	notInForceErr := checkInForce(versions, target)
	if a.JSON {
		_ = a.printJSON(versionsReply{target, notInForceErr == nil, versions})
		return notInForceErr
	}
	a.printVersions(versions)
	if notInForceErr == nil {
		a.printf("version %d is in force on every host that can be reached\n", target)
	}
	return notInForceErr
}

func (c *versionsCmd) queryHosts(a *app, target uint64) ([]hostVersion, error) {
	if c.Wait {
		return a.pollVersions(target)
	}
	hosts, err := a.hosts()
	if err != nil {
		return nil, err
	}
	return queryVersions(hosts), nil
}

// targetVersion returns the version that is looked for: the platform's newest, or 0
// when a host is asked instead, for the newest of any host.
func (c *versionsCmd) targetVersion(a *app) (uint64, error) {
	if c.Version > 0 || a.Host != "" {
		return c.Version, nil
	}
	s, err := a.readNewest()
	return s.Version, err
}

func newestVersion(versions []hostVersion) (version uint64) {
	for _, v := range versions {
		version = max(version, v.Version)
	}
	return version
}

func (a *app) printVersions(versions []hostVersion) {
	rows := [][]string{{"host", "availability_zone", "table_version"}}
	for _, v := range versions {
		cell := strconv.FormatUint(v.Version, 10)
		if !v.Reachable {
			cell = "not reached"
		}
		rows = append(rows, []string{v.ID, v.AvailabilityZone, cell})
	}
	a.printColumns(rows)
}
