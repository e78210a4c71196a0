package main

import (
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"siskinpath/siskinctl/operator"
)

// pollInterval is the pause between two queries of all hosts.
const pollInterval = 100 * time.Millisecond

// hostVersion is the table version that a host has in force.
type hostVersion struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"availability_zone"`
	Version          uint64 `json:"table_version"` // 0 if none
	Reachable        bool   `json:"reached"`
	Error            string `json:"error,omitempty"`
}

// queryVersions queries all hosts concurrently for the versions that they have in
// force.
func queryVersions(hosts []hostInfo) []hostVersion {
	versions := make([]hostVersion, len(hosts))
	var wg sync.WaitGroup
	for i, h := range hosts {
		wg.Go(func() {
			v := hostVersion{ID: h.ID, AvailabilityZone: h.AvailabilityZone}
			version, err := operator.TableVersion(h.OperatorAddress, h.ID)
			if err != nil {
				v.Error = err.Error()
			} else {
				v.Reachable, v.Version = true, version
			}
			versions[i] = v
		})
	}
	wg.Wait()
	return versions
}

// outdatedHosts returns the ids of the reachable hosts that have a version older than
// version.
func outdatedHosts(versions []hostVersion, version uint64) (ids []string) {
	for _, v := range versions {
		if v.Reachable && v.Version < version {
			ids = append(ids, v.ID)
		}
	}
	return ids
}

// unreachableHosts returns the ids of the hosts that can't be reached.
func unreachableHosts(versions []hostVersion) (ids []string) {
	for _, v := range versions {
		if !v.Reachable {
			ids = append(ids, v.ID)
		}
	}
	return ids
}

// waitInForce waits until version is in force on every host that can be reached and
// prints how long that took.
func (a *app) waitInForce(version uint64) error {
	start := time.Now()
	versions, err := a.pollVersions(version)
	if err != nil {
		return err
	}
	if err := checkInForce(versions, version); err != nil {
		return err
	}
	if !a.JSON {
		a.printf("version %d is in force on %d hosts after %d ms\n", version, len(versions)-len(unreachableHosts(versions)),
			time.Since(start).Milliseconds())
	}
	if ids := unreachableHosts(versions); len(ids) > 0 {
		a.printErrf("not reached: %s\n", strings.Join(ids, " "))
	}
	return nil
}

// pollVersions queries all hosts repeatedly until version is in force on every host that
// can be reached, or until the timeout. It returns the result of the last query.
func (a *app) pollVersions(version uint64) (versions []hostVersion, err error) {
	for deadline := time.Now().Add(a.Timeout); ; time.Sleep(pollInterval) {
		hosts, err := a.hosts()
		if err != nil {
			return nil, err
		}
		versions = queryVersions(hosts)
		if checkInForce(versions, version) == nil || time.Now().After(deadline) {
			return versions, nil
		}
	}
}

// checkInForce returns an error unless version is in force on every host that can be
// reached and at least one host can be reached.
func checkInForce(versions []hostVersion, version uint64) error {
	if ids := outdatedHosts(versions, version); len(ids) > 0 {
		return &exitError{exitNotInForce, errors.Errorf("version %d is not yet in force on %s", version, strings.Join(ids, " "))}
	}
	if len(unreachableHosts(versions)) == len(versions) {
		return &exitError{exitNotInForce, errors.New("no host can be reached; see siskinctl hosts")}
	}
	return nil
}

// hostInfo is an entry of the host list, from the platform or from a host.
type hostInfo struct {
	ID               string `json:"id"`
	AvailabilityZone string `json:"availability_zone"`
	State            string `json:"state"` // from the platform: live or leaving; from a host: its presence, or leaving
	CallerAddress    string `json:"caller_address"`
	OperatorAddress  string `json:"operator_address"`
}

// hosts returns all hosts sorted by id, from the platform or from the host given by
// --host.
func (a *app) hosts() (hosts []hostInfo, err error) {
	if a.Host != "" {
		hosts, err = hostsFromHost(a.Host)
	} else {
		hosts, err = a.hostsFromPlatform()
	}
	slices.SortFunc(hosts, func(x, y hostInfo) int { return strings.Compare(x.ID, y.ID) })
	return hosts, err
}

func (a *app) hostsFromPlatform() (hosts []hostInfo, err error) {
	client, err := a.platformClient()
	if err != nil {
		return nil, err
	}
	listed, err := client.Hosts()
	for _, h := range listed {
		hosts = append(hosts, hostInfo{h.ID, h.AvailabilityZone, h.State, h.CallerAddress, h.OperatorAddress})
	}
	return hosts, errors.WithMessage(err, "use --host to query a host instead")
}

func hostsFromHost(address string) (hosts []hostInfo, err error) {
	known, err := operator.Hosts(address)
	for _, h := range known {
		state := h.Presence
		if h.Leaving {
			state = "leaving"
		}
		hosts = append(hosts, hostInfo{h.ID, h.AvailabilityZone, state, h.CallerAddress, h.OperatorAddress})
	}
	return hosts, err
}

// printColumns prints rows as a table with aligned columns.
func (a *app) printColumns(rows [][]string) {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		_, _ = w.Write([]byte(strings.Join(row, "\t") + "\n"))
	}
	_ = w.Flush()
}
