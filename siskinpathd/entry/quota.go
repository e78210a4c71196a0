package entry

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/config"
	"siskinpath/core/fleetlimit"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/forward"
	"siskinpath/siskinpathd/forward/forwardpb"
	"siskinpath/siskinpathd/logs"
)

// Reasons of refusals by quotas.
const (
	reasonQuota        = "quota"         // the organisation has used its quota
	reasonQuotaUnknown = "quota_unknown" // no holder of the quota has answered
)

const (
	// maxQuotaHolders is the number of hosts that hold shares of a quota: two for each of
	// three availability zones, so that one can fail without its zone asking others.
	maxQuotaHolders = 6
	// defaultQuotaWindow is the time over which use is measured if the settings give none.
	defaultQuotaWindow = 5 * clock.Second
	// maxTokens is the largest number of tokens that a message may ask for.
	maxTokens = 1 << 16
	// usedUnit is the fraction of a quota that messages count in.
	usedUnit = 1000
	// msgHolderFailed is limited in rate, as each request may cause it.
	msgHolderFailed = "quota holder did not answer"
)

var (
	quotaMessages       = metrics.NewCounter("quota_messages_total")        // to other hosts
	quotaMessagesFailed = metrics.NewCounter("quota_messages_failed_total") // of these, without an answer in time
	quotaMessagesServed = metrics.NewCounter("quota_messages_served_total") // of other hosts
)

// quotas asks for tokens of organisations' quotas, and grants those of the shares that this
// host holds. Set the exported fields before use.
type quotas struct {
	Self       fleetlimit.Member
	Clock      clock.Clock
	Log        *slog.Logger
	LogLimiter *logs.Limiter
	Client     *forward.Client
	// MayHold reports whether this host may hold shares now.
	MayHold func() bool

	mu        sync.Mutex // guards the fields below
	asker     fleetlimit.Asker
	granter   fleetlimit.Granter
	basis     quotaBasis
	addresses map[string]string // of other hosts, by id
	waiting   map[fleetlimit.RequestID]chan fleetlimit.Action
	lastID    fleetlimit.RequestID
	timer     *time.Timer
	limited   map[string]*limitedState // organisations beyond their quota, by name
	gauges    map[string]bool          // names of gauges of used shares
}

// quotaBasis is what quotas and shares are computed from.
type quotaBasis struct {
	cfg      *config.Config
	settings Quotas
	members  []fleetlimit.Member // sorted by id
	mayHold  bool
}

func (b quotaBasis) equal(o quotaBasis) bool {
	return b.cfg == o.cfg && b.settings == o.settings && b.mayHold == o.mayHold && slices.Equal(b.members, o.members)
}

// limitedState is an organisation that this host refuses requests of.
type limitedState struct {
	latest  clock.Millis // time of the latest refusal
	refused int
}

// quotaReport is the state of quotas as shown to operators.
type quotaReport struct {
	Held    map[string]float64 `json:"held,omitempty"`    // by organisation: fraction of the quota used by this holder's count
	Limited []string           `json:"limited,omitempty"` // organisations that this host refuses requests of
	Silent  []string           `json:"silent,omitempty"`  // holders that are not asked as they did not answer
	Waiting int                `json:"waiting"`           // requests that wait for a token
}

func (n *Node) initQuotas() {
	cfg := n.cfg()
	n.quotas = &quotas{
		Self:  fleetlimit.Member{ID: cfg.ID, AvailabilityZone: cfg.AvailabilityZone, Capacity: capacity(cfg)},
		Clock: n.Clock, Log: n.Log, LogLimiter: n.LogLimiter, Client: &n.forwarder.client, MayHold: func() bool { return n.mayHold(0) },
	}
	n.quotas.init()
	if n.forwardServer != nil {
		n.forwardServer.Grant = n.quotas.grant
	}
}

func (q *quotas) init() {
	q.asker = fleetlimit.Asker{Self: q.Self, Rand: newRand()}
	q.granter = fleetlimit.Granter{Window: defaultQuotaWindow}
	q.waiting = map[fleetlimit.RequestID]chan fleetlimit.Action{}
	q.limited = map[string]*limitedState{}
	q.gauges = map[string]bool{}
	q.timer = time.AfterFunc(time.Hour, q.tick)
}

// configureQuotas computes the quotas and their holders again if the configuration, the
// settings or the registered hosts have changed.
func (n *Node) configureQuotas() {
	q := n.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	basis := quotaBasis{cfg: n.config.Load(), settings: n.cfg().Quotas}
	if basis.cfg == nil {
		return
	}
	basis.members, basis.mayHold = n.holding(0)
	q.addresses = n.relay.ForwardAddresses()
	q.configure(basis)
}

// configure applies a basis if it differs from the one in force. q.mu must be held.
func (q *quotas) configure(basis quotaBasis) {
	if q.basis.equal(basis) {
		return
	}
	q.basis = basis
	allowance := fleetlimit.Allowance{Overage: basis.settings.Overage, Slack: basis.settings.Slack}
	limits, shares := map[string]fleetlimit.Quota{}, map[string]fleetlimit.Share{}
	for name, o := range basis.cfg.Organisations {
		if o.PerSecond <= 0 {
			continue
		}
		limit := allowance.Limit(fleetlimit.Limit{PerSecond: o.PerSecond, Burst: o.Burst})
		holders := fleetlimit.Spread(name, basis.members, limit.HolderCount(maxQuotaHolders))
		limits[name] = fleetlimit.Quota{Limit: limit, Holders: holders}
		if basis.mayHold && fleetlimit.IndexOf(holders, q.Self.ID) >= 0 {
			shares[name] = fleetlimit.Share{Part: limit.Part(len(holders)), PerSecond: o.PerSecond / float64(len(holders))}
		}
	}
	now := q.Clock.Now()
	q.granter.Window = cmp.Or(clock.Millis(basis.settings.WindowMs), defaultQuotaWindow)
	q.granter.Configure(now, shares)
	q.execute(q.asker.Configure(now, limits))
}

// holdsShares reports whether this host holds a share of a quota.
func (q *quotas) holdsShares() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.granter.Held()) > 0
}

// admitQuota waits for a token of the quota of a request's organisation. It returns nil if
// the request may go on, and otherwise its final response.
func (n *Node) admitQuota(ctx context.Context, r *request) *Response {
	if r.organisation == nil || !n.hasQuota(r.organisation) {
		return nil
	}
	name := r.organisation.Name
	var resp *Response
	switch end := n.quotas.request(ctx, name); end.Kind {
	case fleetlimit.Admit:
		return nil
	case fleetlimit.Deny:
		resp = &Response{Status: fasthttp.StatusTooManyRequests, Reason: reasonQuota, RetryAfter: end.RetryAfter}
	case fleetlimit.Unknown:
		resp = notRunResponse(reasonQuotaUnknown, end.RetryAfter)
	default:
		resp = notRunResponse(string(route.ReasonCallerGone), 0)
	}
	if resp.Reason == reasonQuota {
		metrics.GetOrCreateCounter(fmt.Sprintf(`quota_refused_total{organisation=%q}`, name)).Inc()
	}
	return n.decisions.logRefusal(r, resp.Reason, resp)
}

// hasQuota reports whether an organisation has a quota by the configuration in force, which
// may be newer than the one that the organisation is of.
func (n *Node) hasQuota(o *config.Organisation) bool {
	if cfg := n.config.Load(); cfg != nil && cfg.Organisations[o.Name] != nil {
		o = cfg.Organisations[o.Name]
	}
	return o.PerSecond > 0
}

// quotaUse returns the fraction of an organisation's quota that was used in the last
// window, by the latest reply of a holder; 0 if none has replied in that time.
func (n *Node) quotaUse(organisation string) float64 {
	q := n.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.asker.Used(q.Clock.Now(), organisation, q.granter.Window)
}

// request waits for a token for a request of an organisation. The action returned is
// Admit, Deny or Unknown, or none if ctx ends first.
func (q *quotas) request(ctx context.Context, organisation string) fleetlimit.Action {
	final := make(chan fleetlimit.Action, 1)
	q.mu.Lock()
	q.lastID++
	id := q.lastID
	q.waiting[id] = final
	q.execute(q.asker.Request(q.Clock.Now(), id, organisation))
	q.mu.Unlock()
	select {
	case end := <-final:
		return end
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.asker.Withdraw(id)
	delete(q.waiting, id)
	select {
	case end := <-final:
		return end
	default:
		return fleetlimit.Action{}
	}
}

// execute does what the asker wants, and sets the timer. q.mu must be held.
func (q *quotas) execute(actions []fleetlimit.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		if a.Kind == fleetlimit.Ask {
			actions = append(actions, q.ask(a)...)
			continue
		}
		if a.Kind == fleetlimit.Deny {
			q.recordRefusal(a.Organisation)
		}
		q.waiting[a.Request] <- a
		delete(q.waiting, a.Request)
	}
	if at := q.asker.NextTick(); at > 0 {
		q.timer.Reset(max(0, at-q.Clock.Now()).Duration())
	}
}

// ask sends a message to a holder. It returns further actions if the holder is this host or
// has no address. q.mu must be held.
func (q *quotas) ask(a fleetlimit.Action) []fleetlimit.Action {
	now := q.Clock.Now()
	if a.Holder == q.Self.ID {
		return q.asker.Answer(now, a.Message, q.take(now, a.Organisation, a.Count))
	}
	address := q.addresses[a.Holder]
	if address == "" {
		q.logFailure(a, errHostUnknown)
		return q.asker.Fail(now, a.Message)
	}
	quotaMessages.Inc()
	go q.send(a, address)
	return nil
}

// send sends a message to another host, and passes the answer to the asker.
func (q *quotas) send(a fleetlimit.Action, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fleetlimit.AnswerTimeout.Duration())
	defer cancel()
	reply, err := q.Client.Ask(ctx, address, &forwardpb.Tokens{Organisation: a.Organisation, Count: uint32(a.Count)})
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		quotaMessagesFailed.Inc()
		q.logFailure(a, err)
		q.execute(q.asker.Fail(q.Clock.Now(), a.Message))
		return
	}
	q.execute(q.asker.Answer(q.Clock.Now(), a.Message, decodeTokens(reply.GetTokens())))
}

func (q *quotas) logFailure(a fleetlimit.Action, err error) {
	if q.LogLimiter.Allow(msgHolderFailed) {
		q.Log.Info(msgHolderFailed, "organisation", a.Organisation, "holder", a.Holder, "count", a.Count, "err", err)
	}
}

// decodeTokens decodes a holder's reply. A host of a release without quotas sends none.
func decodeTokens(m *forwardpb.TokensReply) fleetlimit.Answer {
	if m == nil {
		return fleetlimit.Answer{NotHolder: true}
	}
	return fleetlimit.Answer{
		Granted: int(m.GetGranted()), RetryAfter: clock.Millis(m.GetRetryAfterMs()), Used: float64(m.GetUsed()) / usedUnit, NotHolder: m.GetNotHolder(),
	}
}

// grant serves a message of another host.
func (q *quotas) grant(m *forwardpb.Tokens) *forwardpb.TokensReply {
	quotaMessagesServed.Inc()
	q.mu.Lock()
	a := q.take(q.Clock.Now(), m.GetOrganisation(), int(min(m.GetCount(), maxTokens)))
	q.mu.Unlock()
	return &forwardpb.TokensReply{
		Granted: uint32(a.Granted), RetryAfterMs: uint32(a.RetryAfter), Used: uint32(a.Used * usedUnit), NotHolder: a.NotHolder,
	}
}

// take takes tokens from this host's share. q.mu must be held.
func (q *quotas) take(now clock.Millis, organisation string, count int) fleetlimit.Answer {
	if !q.MayHold() {
		return fleetlimit.Answer{NotHolder: true}
	}
	a := q.granter.Grant(now, organisation, count)
	if a.Granted > 0 {
		metrics.GetOrCreateCounter(fmt.Sprintf(`quota_granted_total{organisation=%q}`, organisation)).Add(a.Granted)
	}
	return a
}

// tick is called by the timer.
func (q *quotas) tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.execute(q.asker.Tick(q.Clock.Now()))
}

// recordRefusal logs the first refusal of an organisation that was not limited. q.mu must
// be held.
func (q *quotas) recordRefusal(organisation string) {
	now := q.Clock.Now()
	s := q.limited[organisation]
	if s == nil {
		s = &limitedState{}
		q.limited[organisation] = s
		q.logLimited(organisation, true, 0)
	}
	s.latest = now
	s.refused++
}

// logLimited logs that an organisation is refused requests from now on, or is no more.
func (q *quotas) logLimited(organisation string, limited bool, refused int) {
	now := q.Clock.Now()
	var perSecond, burst float64
	if o := q.basis.cfg.Organisations[organisation]; o != nil {
		perSecond, burst = o.PerSecond, o.Burst
	}
	q.Log.Info("organisation limited", "organisation", organisation, "limited", limited, "per_second", perSecond, "burst", burst,
		"used", q.asker.Used(now, organisation, q.granter.Window), "silent_holders", q.asker.Silent(now), "refused", refused)
}

// sweep ends the limited state of organisations without refusals in the last window, and
// sets the gauges of the shares that this host holds.
func (q *quotas) sweep() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	for name, s := range q.limited {
		if now-s.latest > q.granter.Window {
			q.logLimited(name, false, s.refused)
			delete(q.limited, name)
		}
	}
	used := q.granter.Used(now)
	for name := range q.gauges {
		if _, held := used[name]; !held {
			metrics.UnregisterMetric(gaugeOfUse(name))
			delete(q.gauges, name)
		}
	}
	for name, fraction := range used {
		metrics.GetOrCreateGauge(gaugeOfUse(name), nil).Set(fraction)
		q.gauges[name] = true
	}
}

func gaugeOfUse(organisation string) string {
	return fmt.Sprintf(`quota_used_ratio{organisation=%q}`, organisation)
}

// report returns the state for operators, nil without quotas.
func (q *quotas) report() *quotaReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	r := &quotaReport{
		Held: q.granter.Used(now), Limited: slices.Sorted(maps.Keys(q.limited)), Silent: q.asker.Silent(now), Waiting: q.asker.Waiting(),
	}
	if len(r.Held)+len(r.Limited)+len(r.Silent)+r.Waiting == 0 {
		return nil
	}
	return r
}
