package main

import "strconv"

var versionsCommand = command{"versions", "Print which version each host has in force.", func() any { return &versionsCmd{} }}

type versionsCmd struct {
	Wait    bool   `help:"Wait until the version is in force on every host that can be reached."`
	Version uint64 `help:"Check for this version instead of the newest." placeholder:"N"`
}

type versionsReply struct {
	Version uint64        `json:"version"`
	InForce bool          `json:"in_force"` // on every host that can be reached
	Hosts   []hostVersion `json:"hosts"`
}

// Run prints the version that each host has in force. It fails if the target version
// is not in force on every host that can be reached.
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

// queryHosts returns the version of each host. With --wait, it first waits until target
// is in force or the timeout expires.
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

// targetVersion returns the version to check for: the one given by --version, or the
// platform's newest. It returns 0 if --host is given without --version, which stands
// for the newest version on any host.
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
