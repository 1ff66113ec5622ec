package twauthenticator_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/admission/twauthenticator"
	"github.com/turmericwall/turmericwall/internal/admission/twkeyindex"
	"github.com/turmericwall/turmericwall/internal/membership/twproof"
	"github.com/turmericwall/turmericwall/internal/operations/twboottime"
	"github.com/turmericwall/turmericwall/internal/routing/twroutes"
)

type fixture struct {
	*twauthenticator.Authenticator
	routes *twroutes.Table
	proof  *twproof.Proof
}

func newFixture() fixture {
	f := fixture{
		routes: twroutes.New(),
		proof:  twproof.New(twproof.Config{MaxAge: 3 * time.Second, InForceWithin: 2 * time.Second}),
	}
	f.Authenticator = twauthenticator.New(twauthenticator.Config{Routes: f.routes, Proof: f.proof})
	f.apply(1, "k1", "k2")
	return f
}

// apply applies a version of the plan in which account "a" has the keys.
func (f fixture) apply(version int64, keys ...string) {
	account := turmericwall.ClientAccount{Name: "a"}
	for _, key := range keys {
		account.KeyDigests = append(account.KeyDigests, twkeyindex.Digest(key))
	}
	f.routes.Apply(&turmericwall.RoutePlan{Version: version, Accounts: []turmericwall.ClientAccount{account}})
}

func bearer(key string) []string { return []string{"Bearer " + key} }

// Guards against calls that are admitted with a missing, malformed, unknown or possibly removed key, and against an
// unknown key that is refused for good while a newer plan may contain it.
func TestCheckKey(t *testing.T) {
	const now = twboottime.Instant(10 * time.Second)
	cases := []struct {
		name      string
		proofAge  time.Duration
		headers   []string
		anonymous bool
		account   string
		kind      turmericwall.Kind
	}{
		{"a key of the plan", time.Second, bearer("k1"), false, "a", ""},
		{"no key", time.Second, nil, false, "", turmericwall.KindUnauthorized},
		{"two keys", time.Second, []string{"Bearer k1", "Bearer k1"}, false, "", turmericwall.KindUnauthorized},
		{"another scheme", time.Second, []string{"Basic k1"}, false, "", turmericwall.KindUnauthorized},
		{"an unknown key", time.Second, bearer("k9"), false, "", turmericwall.KindUnauthorized},
		{
			"an unknown key, while a newer plan may be in force", 2 * time.Second, bearer("k9"), false, "",
			turmericwall.KindNotReady,
		},
		{"a key that may have been removed", 3 * time.Second, bearer("k1"), false, "", turmericwall.KindNotReady},
		{"no key on an anonymous route", 9 * time.Second, nil, true, "", ""},
		{"a key on an anonymous route", time.Second, bearer("k1"), true, "a", ""},
		{"an unknown key on an anonymous route", time.Second, bearer("k9"), true, "", ""},
		{"a key that may have been removed on an anonymous route", 9 * time.Second, bearer("k1"), true, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFixture()
			f.proof.Confirm(now.Add(-c.proofAge))
			got, _, err := f.CheckKey(now, turmericwall.Route{Anonymous: c.anonymous}, c.headers)
			g.Expect(got.Account.Name).To(Equal(c.account))
			if c.kind == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(turmericwall.IsKind(err, c.kind)).To(BeTrue(), "%v", err)
			g.Expect(err.Error()).NotTo(ContainSubstring("k9"), "an error must not contain the key")
		})
	}
}

// Guards against 401 for a key that was added recently, in a plan that has not reached this daemon yet.
func TestUnknownKeyWaitsForTheNextPlan(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.proof.Confirm(twboottime.Now())
	time.AfterFunc(80*time.Millisecond, func() { f.apply(2, "k1", "k9") })
	got, err := f.Authenticate(context.Background(), turmericwall.Route{}, bearer("k9"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got.Account.Name).To(Equal("a"))
}

// Guards against calls with invalid keys that wait although the plan is proved to include all changes before their
// arrival.
func TestInvalidKeyIsRefusedAsSoonAsThePlanCoversItsCall(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.proof.Confirm(twboottime.Now())
	time.AfterFunc(60*time.Millisecond, func() { f.proof.Confirm(twboottime.Now()) })
	began := time.Now()
	_, err := f.Authenticate(context.Background(), turmericwall.Route{}, bearer("k9"))
	g.Expect(turmericwall.IsKind(err, turmericwall.KindUnauthorized)).To(BeTrue())
	g.Expect(time.Since(began)).To(BeNumerically("<", 250*time.Millisecond))
}

// Guards against a flood of calls with invalid keys that exhausts the daemon with waiting calls.
func TestWaitingCallsWithInvalidKeysAreBounded(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.proof.Confirm(twboottime.Now())
	const calls = 200
	durations := make(chan time.Duration, calls)
	for range calls {
		go func() {
			began := time.Now()
			_, _ = f.Authenticate(context.Background(), turmericwall.Route{}, bearer("k9"))
			durations <- time.Since(began)
		}()
	}
	waited := 0
	for range calls {
		if <-durations > 300*time.Millisecond {
			waited++
		}
	}
	g.Expect(waited).To(BeNumerically("<=", 32))
}

// Guards against a call that runs although its key was removed while the call waited for an engine.
func TestRemovedKeyIsRefusedAfterAuthentication(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.proof.Confirm(twboottime.Now())
	got, err := f.Authenticate(context.Background(), turmericwall.Route{}, bearer("k2"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.CheckCredential(got)).To(Succeed())
	f.apply(2, "k1")
	g.Expect(turmericwall.IsKind(f.CheckCredential(got), turmericwall.KindUnauthorized)).To(BeTrue())
	g.Expect(f.CheckCredential(twauthenticator.Credential{})).To(
		Succeed(), "an anonymous call has no key that could be removed")
}
