// Package config holds the operators' configuration in force on a host: how requests
// are matched to routes and routes to services. It uses no goroutine, socket or wall
// clock.
package config

import (
	"cmp"
	"slices"
	"strings"

	"siskinpath/core/clock"
)

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service // by name
	Limits   Limits
	// Warnings tells operators about entries that were skipped or read in a cautious way.
	Warnings []string
	// Organisations holds the organisations in force by name; see SetOrganisations.
	Organisations map[string]*Organisation
	// KeysRequired is set if requests need a key, unless their route is public.
	KeysRequired bool

	keyOwners map[KeyDigest]*Organisation
	byHost    map[string][]*Route // longest prefix first
}

// Route describes the requests of one host name and path prefix, and the services that
// run them.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	// Split divides the route's requests between services. It has at least one entry.
	Split []WeightedService
	// Idempotent routes have requests that may run more than once; all others run at
	// most once.
	Idempotent  bool
	Timeout     clock.Millis // longest time until the final answer
	Target      clock.Millis // time within which answers should arrive; later ones are worth less
	Priority    int          // 0 is the most urgent
	MaxAttempts int          // most upstreams that a request may be sent to, at least 1
	Public      bool         // its requests need no key
}

// WeightedService is one service's share of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Service holds the settings common to all upstreams of a service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // accepted by an upstream from all hosts together; 0 means no limit
	// WarmUpPerSecond is the rate of requests that a cold upstream of the service takes from
	// all hosts together, to which the settings add; 0 means no limit.
	WarmUpPerSecond float64
}

// Limits bound the size of requests and the time a caller may take or stay idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  clock.Millis // from the first byte of a request to the end of its header
	IdleTimeout    clock.Millis // between two requests on a connection
}

// New returns a configuration that is indexed for Lookup.
func New(version int64, routes []Route, services []Service, limits Limits) *Config {
	c := &Config{Version: version, Routes: routes, Limits: limits, Services: map[string]Service{}, byHost: map[string][]*Route{}}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := canonicalHost(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Lookup returns the route with the longest prefix that matches a request, nil if there
// is none. host may include a port; path excludes the query.
func (c *Config) Lookup(host, path string) *Route {
	for _, r := range c.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// canonicalHost strips the port and the final dot of a fully qualified name from a Host
// header and converts it to lower case.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
