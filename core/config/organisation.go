package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Organisation is a customer of the operators whose requests carry one of its keys.
type Organisation struct {
	Name        string
	Priority    int // takes precedence over the route's if HasPriority is set
	HasPriority bool
	// PerSecond and Burst are its quota over all hosts together: in any span of time its
	// requests may be PerSecond for each second of it, and Burst besides. A PerSecond of 0
	// means no quota.
	PerSecond float64
	Burst     float64
}

// MaxKeyBytes is the length of the longest key. Longer ones, and empty ones, are no keys.
const MaxKeyBytes = 4096

// KeyDigest is the SHA-256 of a key. A configuration holds digests instead of keys, so
// that no key can reach a log line or a dump, and so that the time of a lookup does not
// depend on how many bytes of a key match.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key []byte) KeyDigest { return sha256.Sum256(key) }

// shortDigestBytes is the part of a digest that log lines show.
const shortDigestBytes = 4

// Short returns the first 8 hexadecimal digits of the digest, for log lines.
func (d KeyDigest) Short() string { return hex.EncodeToString(d[:shortDigestBytes]) }

// KeyHolder is an organisation with the digests of its keys.
type KeyHolder struct {
	Organisation
	Keys []KeyDigest
}

// SetOrganisations sets the organisations, and makes requests need a key. It must be
// called before the configuration is in use. Of two organisations with one name the first
// remains, and a key of several organisations belongs to none of them; both add a warning.
//
// Requests also need a key if the list is empty: if every entry was skipped as malformed,
// serving requests without keys would open the services to everybody.
func (c *Config) SetOrganisations(list []KeyHolder) {
	c.KeysRequired = true
	c.Organisations = make(map[string]*Organisation, len(list))
	c.keyOwners = map[KeyDigest]*Organisation{}
	shared := map[KeyDigest][]string{}
	for _, holder := range list {
		if c.Organisations[holder.Name] != nil {
			c.Warnings = append(c.Warnings, fmt.Sprintf("organisation %q appears more than once: only its first entry is used", holder.Name))
			continue
		}
		c.addOrganisation(holder, shared)
	}
	c.removeSharedKeys(shared)
}

// addOrganisation adds an organisation and its keys. It records the owners of the keys
// that an earlier organisation also has.
func (c *Config) addOrganisation(holder KeyHolder, shared map[KeyDigest][]string) {
	o := &holder.Organisation
	c.Organisations[o.Name] = o
	for _, key := range holder.Keys {
		owner := c.keyOwners[key]
		switch {
		case owner == nil:
			c.keyOwners[key] = o
		case owner != o && !slices.Contains(shared[key], o.Name):
			if len(shared[key]) == 0 {
				shared[key] = []string{owner.Name}
			}
			shared[key] = append(shared[key], o.Name)
		}
	}
}

// removeSharedKeys removes the keys that several organisations have, with a warning for
// each.
func (c *Config) removeSharedKeys(shared map[KeyDigest][]string) {
	digests := slices.SortedFunc(maps.Keys(shared), func(a, b KeyDigest) int { return cmp.Compare(a.Short(), b.Short()) })
	for _, key := range digests {
		delete(c.keyOwners, key)
		c.Warnings = append(c.Warnings, fmt.Sprintf("the key with digest %s belongs to several organisations (%s): it is not accepted", key.Short(), strings.Join(shared[key], ", ")))
	}
}

// OrganisationOf returns the organisation whose key has a digest, nil if there is none.
func (c *Config) OrganisationOf(key KeyDigest) *Organisation { return c.keyOwners[key] }
