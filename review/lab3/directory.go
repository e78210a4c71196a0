package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// addressBook is what a caller knows of the directory: the addresses that it may connect to.
// Callers keep an answer as long as it says, some of them three times as long.
type addressBook struct {
	fleet *fleet
	keeps float64 // how many times as long as the directory says

	mu        sync.Mutex
	addresses []string
	until     time.Time
	failed    map[string]bool // since the last answer
}

// pick returns the host to connect to next; nil if there is none.
func (b *addressBook) pick() *host {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().After(b.until) {
		b.resolve()
	}
	var good []*host
	for _, address := range b.addresses {
		for _, h := range b.fleet.hosts {
			if h.caller == address && !b.failed[address] {
				good = append(good, h)
			}
		}
	}
	if len(good) == 0 {
		b.until = time.Time{}
		return nil
	}
	return good[rand.IntN(len(good))]
}

func (b *addressBook) fail(h *host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed[h.caller] = true
}

// resolve asks up to three hosts. Without an answer the addresses are kept.
func (b *addressBook) resolve() {
	client := http.Client{Timeout: time.Second}
	for _, i := range rand.Perm(len(b.fleet.hosts))[:min(3, len(b.fleet.hosts))] {
		h := b.fleet.hosts[i]
		resp, err := client.Get(fmt.Sprintf("http://%s/v1/resolve?name=%s&region=cymru&zone=%s", h.directory, hostHeader, h.zone))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		b.addresses, b.failed = answer.Addresses, map[string]bool{}
		b.until = time.Now().Add(time.Duration(answer.TTL * b.keeps * float64(time.Second)))
		return
	}
}
