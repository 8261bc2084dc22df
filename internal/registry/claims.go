package registry

import (
	"sort"
	"time"
	"unique"

	"meadowhinge/internal/session"
	"meadowhinge/schema"
)

// ClaimsOptions bound the claims of a registry.
type ClaimsOptions struct {
	Lease  time.Duration
	Window time.Duration // how long a claim stands
	Most   int
	Seats  int
}

// pageMost is how many claims go into one page for a registry that restarted.
const pageMost = 4096

// Claims is which idempotency keys are whose, as one registry has it. A key runs only for the
// request that a majority of registries gave it to. It is a step function of events and the
// time since the registry started; its caller guards it.
type Claims struct {
	options ClaimsOptions
	held    map[string]*heldClaim
	order   []*heldClaim // by place, and so by when they were taken
	place   uint64
	read    map[string]bool // other seats whose claims were read whole, while they counted
	whole   bool            // nothing that was ever taken here can be missing
	newest  map[string]uint64

	// Refused counts claims of strangers, of old incarnations, and past the bound.
	Refused uint64
}

// heldClaim is a claim as it is kept: there are very many, and their names are few.
type heldClaim struct {
	key, body, request                       string
	caller, proxy, instance, beside, address unique.Handle[string]
	incarnation, place                       uint64
	until                                    time.Duration
	gone                                     bool
}

// claim is the claim as it is told to others.
func (h *heldClaim) claim() *schema.Claim {
	return &schema.Claim{Key: []byte(h.key), Body: []byte(h.body), Request: h.request, Caller: h.caller.Value(), Proxy: h.proxy.Value(), Incarnation: h.incarnation,
		Instance: h.instance.Value(), Beside: h.beside.Value(), Address: h.address.Value(), Place: h.place}
}

// NewClaims makes the claims of a registry that has just started.
func NewClaims(options ClaimsOptions) *Claims {
	return &Claims{options: options, held: map[string]*heldClaim{}, read: map[string]bool{}, newest: map[string]uint64{}}
}

// Unused tells that no setup was ever stable, so no call was ever planned and no key claimed.
func (c *Claims) Unused() { c.whole = true }

// Counts tells whether this registry's word counts. One that started anew may have given
// claims that it forgot: it counts once it has read both others, or all it forgot has run out.
func (c *Claims) Counts(now time.Duration) bool { return c.whole || now >= c.options.Window }

// ReadsFrom is when the others may be read: by then every round has ended in which a claim
// given in an earlier life may still have been counted.
func (c *Claims) ReadsFrom() time.Duration {
	return session.ClaimBound(c.options.Lease) + session.ClaimBound(c.options.Lease)/session.LeaseParts
}

func (c *Claims) sweep(now time.Duration) {
	dropped := 0
	for _, one := range c.order {
		if !one.gone && one.until > now {
			break
		}
		c.forget(one)
		dropped++
	}
	c.order = c.order[dropped:]
}

func (c *Claims) forget(one *heldClaim) {
	one.gone = true
	if c.held[one.key] == one {
		delete(c.held, one.key)
	}
}

func (c *Claims) keep(claim *schema.Claim, until time.Duration) {
	c.place++
	fresh := &heldClaim{key: string(claim.Key), body: string(claim.Body), request: claim.Request, caller: unique.Make(claim.Caller), proxy: unique.Make(claim.Proxy),
		instance: unique.Make(claim.Instance), beside: unique.Make(claim.Beside), address: unique.Make(claim.Address), incarnation: claim.Incarnation, place: c.place, until: until}
	c.held[fresh.key] = fresh
	c.order = append(c.order, fresh)
}

// Take rules on a claim, or drops one whose taker proved that nothing ran.
func (c *Claims) Take(now time.Duration, claim *schema.Claim) *schema.Claimed {
	c.sweep(now)
	// A proxy that was restarted has nobody left who could run what its earlier life claimed.
	if claim.Incarnation < c.newest[claim.Proxy] {
		c.Refused++
		return &schema.Claimed{Ruled: schema.Ruled_RULED_STALE}
	}
	c.newest[claim.Proxy] = claim.Incarnation
	held := c.held[string(claim.Key)]
	if claim.Drop {
		if held != nil && held.request == claim.Request {
			c.forget(held)
		}
		return &schema.Claimed{Ruled: schema.Ruled_RULED_TAKEN}
	}
	switch {
	case held != nil && held.request == claim.Request && c.Counts(now):
		// The same request goes to another worker, having been proved not to have run before.
		c.forget(held)
	case held != nil && held.request != claim.Request:
		return &schema.Claimed{Ruled: schema.Ruled_RULED_HELD, Held: held.claim()}
	case !c.Counts(now):
		return &schema.Claimed{Ruled: schema.Ruled_RULED_UNCOUNTED}
	// A claim that stands is never forgotten to make room for another.
	case len(c.held) >= c.options.Most:
		c.Refused++
		return &schema.Claimed{Ruled: schema.Ruled_RULED_FULL}
	}
	c.keep(claim, now+c.options.Window)
	return &schema.Claimed{Ruled: schema.Ruled_RULED_TAKEN}
}

// Page gives the claims after a place, in order, to a registry that restarted.
func (c *Claims) Page(now time.Duration, after uint64) *schema.ClaimsPage {
	c.sweep(now)
	page := &schema.ClaimsPage{Counts: c.Counts(now)}
	from := sort.Search(len(c.order), func(i int) bool { return c.order[i].place > after })
	for _, one := range c.order[from:] {
		if len(page.Claims) == pageMost {
			return page
		}
		if one.gone {
			continue
		}
		passed := one.claim()
		passed.LeftNanos = int64(one.until - now)
		page.Claims = append(page.Claims, passed)
	}
	page.Last = true
	return page
}

// Fill takes a page of another seat's claims. It counts from when both others have been read
// to the end, each while its own word counted.
func (c *Claims) Fill(now time.Duration, seat string, page *schema.ClaimsPage) {
	for _, claim := range page.Claims {
		// Of two seats' claims to one key the first read stays: either way it does not run here.
		if c.held[string(claim.Key)] == nil {
			c.keep(claim, now+min(time.Duration(claim.LeftNanos), c.options.Window))
		}
	}
	if page.Last && page.Counts {
		c.read[seat] = true
	}
	c.whole = c.whole || len(c.read) >= c.options.Seats-1
}

// Held is how many claims stand.
func (c *Claims) Held() int { return len(c.held) }
