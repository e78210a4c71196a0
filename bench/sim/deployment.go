package sim

// Deployment describes a deployed service.
type Deployment struct {
	Service          string
	Zones            int     // number of availability zones
	CrossZoneLatency Micros  // one-way latency between availability zones
	InZoneLatency    Micros  // one-way latency within an availability zone
	Upstreams        int     // distributed round-robin over the availability zones
	Slots            int     // requests that each upstream serves concurrently
	Hosts            int     // distributed round-robin over the availability zones
	IdempotentShare  float64 // share of the requests that may be sent more than once
	MeanServiceTime  Micros  // mean of the exponentially distributed service time
	Deadline         Micros  // time from a request's arrival to its deadline
	ShortDeadline    Micros  // deadline of half the requests, drawn at random, if Scenario.MixedDeadlines is set
}

const (
	meanServiceTime         = 20 * Millisecond
	deadline                = 2 * Second
	shortDeadline           = 150 * Millisecond
	inZoneLatency           = Millisecond / 10
	ghanaCrossZoneLatency   = 3 * Millisecond / 2
	bavariaCrossZoneLatency = Millisecond
	ghanaZones              = 3
	bavariaZones            = 4
	hostCount               = 22
)

// Deployments returns the services that the benchmarks measure.
func Deployments() []Deployment {
	return []Deployment{
		ghana("booking", 25, 4, 0.8),
		ghana("payments", 6, 4, 0.3),
		bavaria("organisation-desk", 30, 6, 0.8),
		bavaria("rent-ledger", 8, 6, 0.5),
	}
}

func ghana(service string, upstreams, slots int, idempotent float64) Deployment {
	return Deployment{
		Service: service, Zones: ghanaZones, CrossZoneLatency: ghanaCrossZoneLatency, InZoneLatency: inZoneLatency,
		Upstreams: upstreams, Slots: slots, Hosts: hostCount,
		IdempotentShare: idempotent, MeanServiceTime: meanServiceTime, Deadline: deadline, ShortDeadline: shortDeadline,
	}
}

func bavaria(service string, upstreams, slots int, idempotent float64) Deployment {
	d := ghana(service, upstreams, slots, idempotent)
	d.Zones = bavariaZones
	d.CrossZoneLatency = bavariaCrossZoneLatency
	return d
}

// RequestRate returns the number of requests per second that corresponds to a
// load. A load of 1 keeps every slot busy.
func (d Deployment) RequestRate(load float64) float64 {
	return load * float64(d.Upstreams*d.Slots) * float64(Second) / float64(d.MeanServiceTime)
}

// latency returns the one-way latency between two availability zones.
func (d Deployment) latency(a, b int) Micros {
	if a == b {
		return d.InZoneLatency
	}
	return d.CrossZoneLatency
}
