package caller

import (
	"encoding/json"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// addressTimeout is the time limit of one request for addresses.
const addressTimeout = time.Second

// Address is one address at which a service can be called. KeyPrefix is the prefix
// of the idempotency keys for that address.
type Address struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	KeyPrefix        string `json:"key_prefix"`
}

type addressesBody struct {
	Service   string    `json:"service"`
	TTLMs     int64     `json:"ttl_ms"`
	Addresses []Address `json:"addresses"`
}

// AddressCache requests the addresses of one service from the hosts and caches
// them for their time to live. The exported fields must be set before first use.
type AddressCache struct {
	Service          string
	AvailabilityZone string
	Hosts            []string // hosts to request the addresses from, in this order
	Pool             *Pool
	Counters         *Counters

	mu        sync.Mutex
	cached    []Address
	expiresAt time.Time
	nextHost  int                  // index in Hosts, modulo its length
	failedAt  map[string]time.Time // time of the last failure by address
}

// deprioritiseFor is the time for which a failed address is listed last.
const deprioritiseFor = 2 * time.Second

// Get returns the addresses, best first in the order of the host's list, except that
// those that failed within deprioritiseFor come last.
func (a *AddressCache) Get() ([]Address, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Now().After(a.expiresAt) {
		if err := a.refresh(); err != nil {
			return nil, err
		}
	}
	var good, bad []Address
	for _, address := range a.cached {
		if time.Since(a.failedAt[address.Address]) < deprioritiseFor {
			bad = append(bad, address)
			continue
		}
		good = append(good, address)
	}
	return append(good, bad...), nil
}

// MarkFailed records that address has just failed.
func (a *AddressCache) MarkFailed(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failedAt == nil {
		a.failedAt = map[string]time.Time{}
	}
	a.failedAt[address] = time.Now()
}

// refresh requests the addresses from one host after another until one returns at
// least one address.
func (a *AddressCache) refresh() error {
	for range a.Hosts {
		host := a.Hosts[a.nextHost%len(a.Hosts)]
		body, err := a.fetch(host)
		if err == nil && len(body.Addresses) > 0 {
			a.cached = body.Addresses
			a.expiresAt = time.Now().Add(time.Duration(body.TTLMs) * time.Millisecond)
			return nil
		}
		a.Counters.AddressFailures.Add(1)
		a.nextHost++
	}
	return errors.Errorf("no host returned addresses of service %s", a.Service)
}

func (a *AddressCache) fetch(host string) (body addressesBody, err error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + host + "/v1/addresses/" + url.PathEscape(a.Service) +
		"?availability_zone=" + url.QueryEscape(a.AvailabilityZone))
	a.Counters.AddressRequests.Add(1)
	if err := a.Pool.Exchange(host, req, resp, time.Now().Add(addressTimeout)); err != nil {
		return body, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return body, errors.Errorf("addresses of service %s: unexpected status %d", a.Service, resp.StatusCode())
	}
	return body, json.Unmarshal(resp.Body(), &body)
}
