// Package config holds the operators' configuration that is in force on a host:
// which request belongs to which route, and which service runs it. It is plain
// state without goroutines, sockets or wall clock.
package config

import (
	"cmp"
	"slices"
	"strings"

	"siskinpath/core/clock"
)

// Config is one version of the configuration. It is not changed once made.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service // by name
	Limits   Limits

	byHost map[string][]*Route // longest prefix first
}

// Route says what the requests of one host and path prefix are, and where they go.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	// Split are the services that share the route's requests. There is at least one.
	Split []WeightedService
	// Idempotent requests may run more than once, all others at most once.
	Idempotent  bool
	Timeout     clock.Millis // longest time until the final answer
	Target      clock.Millis // time within which an answer has its full value
	Priority    int          // 0 is the most urgent
	MaxAttempts int          // upstreams that one request may be sent to, at least 1
}

// WeightedService is one service's share of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is what all upstreams of a service have in common.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // that an upstream accepts from all hosts together; 0 means no limit
}

// Limits bound what a caller may send and for how long it may be idle.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  clock.Millis // from the first byte of a request to the end of its header
	IdleTimeout    clock.Millis // between two requests on a connection
}

// New makes a configuration ready for Lookup.
func New(version int64, routes []Route, services []Service, limits Limits) *Config {
	c := &Config{Version: version, Routes: routes, Limits: limits, Services: map[string]Service{}, byHost: map[string][]*Route{}}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Lookup returns the route of a request with the longest prefix, nil when there
// is none. host may carry a port; path is the part of the target before the query.
func (c *Config) Lookup(host, path string) *Route {
	for _, r := range c.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// canonicalHost drops the port and the case of a Host header.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
