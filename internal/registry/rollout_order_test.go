package registry

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"meadowhinge/internal/config"
	"meadowhinge/internal/store"
	"meadowhinge/schema"
)

// fakeStore decides changes like a store, and commits each decision at once at all registries of the test.
type fakeStore struct {
	schema.DRPCStoreClient // nil: the other methods are not called
	revision               uint64
	state                  config.State
	outcomes               map[string]*schema.ChangeOutcome
	registries             []*configSync
}

func (s *fakeStore) Propose(_ context.Context, proposal *schema.Proposal) (*schema.ProposalReply, error) {
	if outcome := s.outcomes[proposal.Change.Id]; outcome != nil {
		return &schema.ProposalReply{Outcome: outcome}, nil
	}
	s.revision++
	entry, _ := store.Decide(s.state, nil, proposal.Change, &schema.Version{Term: 1, Sequence: s.revision})
	s.state = s.state.Merge(entry.Items)
	s.outcomes[proposal.Change.Id] = entry.Outcome
	for _, registry := range s.registries {
		registry.applyCommitted(store.ItemsAfter(s.state, s.revision, s.revision-1))
	}
	return &schema.ProposalReply{Outcome: entry.Outcome}, nil
}

func (s *fakeStore) ReadIndex(context.Context, *schema.Empty) (*schema.ReadIndexReply, error) {
	return &schema.ReadIndexReply{Committed: s.revision}, nil
}

// newOrderBackends returns the backends of a number of registries above one fakeStore, which has a service "shop" with
// the versions 1, 2 and 3.
func newOrderBackends(t *testing.T, count int) (*fakeStore, []*operatorBackend) {
	t.Helper()
	shared := &fakeStore{state: config.State{}, outcomes: map[string]*schema.ChangeOutcome{}}
	core := &testCore{hosts: []string{"127.0.0.1", "127.0.0.2"}}
	var backends []*operatorBackend
	for member := range count {
		opts := core.registryOptions(member)
		opts.AcknowledgeAfter = "stable"
		cfg, err := newServerConfig(opts)
		if err != nil {
			t.Fatal(err)
		}
		state := newSharedState(cfg, newLiveOptions(opts), uint64(member+1))
		shared.registries = append(shared.registries, newConfigSync(state, shared, logr.Discard()))
		submitter := newChangeSubmitter(state, newLiveOptions(opts), shared, newAcknowledger(state, nil), logr.Discard())
		backends = append(backends, newOperatorBackend(submitter))
	}
	shared.write(t, "shop", `{"versions":["1","2","3"],"fallback":"1","callers":["client"]}`)
	return shared, backends
}

// write sets a service under an id of its own.
func (s *fakeStore) write(t *testing.T, service, body string) {
	t.Helper()
	change := &schema.Change{
		Id:                "write-" + service + body,
		ByOperatorVersion: true,
		Items:             []*schema.Item{{Kind: "service", Name: service, OperatorVersion: s.revision + 1, Body: []byte(body)}},
	}
	reply, _ := s.Propose(t.Context(), &schema.Proposal{Change: change}) // never fails
	if reply.Outcome.Ruling != schema.Ruling_RULING_ACCEPTED {
		t.Fatalf("change of service %s: outcome %v, want it accepted", service, reply.Outcome)
	}
}

// expectOrder orders a rollout of a service and checks the ruling.
func (b *operatorBackend) expectOrder(t *testing.T, service, version string, want schema.Ruling) {
	t.Helper()
	if got := b.StartRollout(t.Context(), service, version, time.Minute).GetRuling(); got != want {
		t.Errorf("StartRollout of %s to %s at %s: ruling %v, want %v", service, version, b.state.config.memberID, got, want)
	}
}

// expectPlan checks which version the plan of a service releases; empty for no plan.
func (b *operatorBackend) expectPlan(t *testing.T, service, want string) {
	t.Helper()
	if _, got, known := b.RolloutStatus(t.Context(), service); !known || got != want {
		t.Errorf("RolloutStatus of %s at %s: version %q, known %t; want version %q", service, b.state.config.memberID, got, known, want)
	}
}

// passOrderMemory lets the time pass for which a registry takes an order with the same arguments for a copy.
func (b *operatorBackend) passOrderMemory() {
	b.state.startedAt = b.state.startedAt.Add(-orderMemoryLeases * b.state.config.lease)
}

// A copy of a rollout order that arrives after another registry refused the order is refused too, also once the order
// would be valid. The same order counts as a new one after the order memory.
func TestCopyOfRefusedOrderIsRefused(t *testing.T) {
	shared, backends := newOrderBackends(t, 2)
	backends[0].expectOrder(t, "cards", "2", schema.Ruling_RULING_INVALID)
	shared.write(t, "cards", `{"versions":["1","2"],"fallback":"1","callers":["client"]}`)
	for _, backend := range backends {
		backend.expectOrder(t, "cards", "2", schema.Ruling_RULING_INVALID)
		backend.expectPlan(t, "cards", "")
	}
	backends[1].passOrderMemory()
	backends[1].expectOrder(t, "cards", "2", schema.Ruling_RULING_ACCEPTED)
	backends[1].expectPlan(t, "cards", "2")
	backends[0].expectOrder(t, "cards", "2", schema.Ruling_RULING_INVALID) // to this registry it is still a copy
}

// A copy of a rollout order that arrives while the rollout is in force is accepted. One that arrives after the rollout was
// rolled back, or replaced by another one, starts nothing and is not acknowledged: it could be a new order. The same order
// counts as a new one after the order memory.
func TestCopyOfEndedRolloutStartsNothing(t *testing.T) {
	for name, test := range map[string]struct {
		end         func(t *testing.T, shared *fakeStore, backend *operatorBackend)
		wantVersion string
		wantStatus  RolloutStatus
	}{
		"replaced": {
			func(t *testing.T, _ *fakeStore, backend *operatorBackend) {
				t.Helper()
				backend.expectOrder(t, "shop", "3", schema.Ruling_RULING_ACCEPTED)
			},
			"3", RolloutInProgress,
		},
		"rolled back": {
			func(t *testing.T, shared *fakeStore, _ *operatorBackend) {
				t.Helper()
				change := &schema.Change{Id: "rollback", Items: []*schema.Item{
					{Kind: "progress", Name: "shop", Body: []byte(`{"set":"shop 2","state":"back"}`)},
				}}
				reply, _ := shared.Propose(t.Context(), &schema.Proposal{Change: change}) // never fails
				if reply.Outcome.Ruling != schema.Ruling_RULING_ACCEPTED {
					t.Fatalf("progress of the rollback: outcome %v, want it accepted", reply.Outcome)
				}
			},
			"2", RolloutRolledBack,
		},
	} {
		t.Run(name, func(t *testing.T) {
			shared, backends := newOrderBackends(t, 2)
			for _, backend := range backends {
				backend.expectOrder(t, "shop", "2", schema.Ruling_RULING_ACCEPTED)
			}
			test.end(t, shared, backends[0])
			for _, backend := range backends {
				backend.expectOrder(t, "shop", "2", schema.Ruling_RULING_UNKNOWN)
				status, version, _ := backend.RolloutStatus(t.Context(), "shop")
				if status != test.wantStatus || version != test.wantVersion {
					t.Errorf("after the copy: rollout to %s is %q, want to %s and %q", version, status, test.wantVersion, test.wantStatus)
				}
			}
			backends[1].passOrderMemory()
			backends[1].expectOrder(t, "shop", "2", schema.Ruling_RULING_ACCEPTED)
			if status, version, _ := backends[1].RolloutStatus(t.Context(), "shop"); status != RolloutInProgress || version != "2" {
				t.Errorf("after a new order: rollout to %s is %q, want to 2 and %q", version, status, RolloutInProgress)
			}
		})
	}
}
