package caller

import (
	"encoding/json"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/siskinpathd/call"
)

var (
	addressAnswers  = metrics.NewCounter("address_answers_total")
	addressRefusals = metrics.NewCounter("address_refusals_total")
)

// Errors that Server.Addresses returns. Their texts are the reasons that callers see.
var (
	ErrUnknownService = errors.New(call.ReasonUnknownService)
	ErrNoTable        = errors.New(call.ReasonNoTable)
	ErrNoOwner        = errors.New(call.ReasonNoOwner)
)

// addressesRetryDelay is the retry delay after a refused request for addresses.
const addressesRetryDelay = clock.Second

// Addresses lists the hosts that a caller should use for a service, best first.
type Addresses struct {
	Service string
	TTL     clock.Millis
	Hosts   []Address
}

// Address is one host that a caller may use.
type Address struct {
	Address          string // IP and port
	AvailabilityZone string
	KeyPrefix        string // prefix for idempotency keys of requests sent to this host
}

type wireAddresses struct {
	Service   string        `json:"service"`
	TTLMs     int64         `json:"ttl_ms"`
	Addresses []wireAddress `json:"addresses"`
}

type wireAddress struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability_zone"`
	KeyPrefix        string `json:"key_prefix"`
}

// handleAddresses answers GET /v1/addresses/{service}.
func (s *Server) handleAddresses(ctx *fasthttp.RequestCtx) {
	service, _ := ctx.UserValue("service").(string)
	zone := string(ctx.QueryArgs().Peek("availability_zone"))
	got, err := s.Addresses(service, zone)
	if err != nil {
		addressRefusals.Inc()
		a := call.NotRun(err.Error(), addressesRetryDelay)
		writeAnswer(ctx, s.HostID, &a)
		return
	}
	addressAnswers.Inc()
	wire := wireAddresses{Service: got.Service, TTLMs: int64(got.TTL), Addresses: []wireAddress{}}
	for _, h := range got.Hosts {
		wire.Addresses = append(wire.Addresses, wireAddress(h))
	}
	ctx.SetContentType("application/json")
	b, err := json.Marshal(wire)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(b)
}
