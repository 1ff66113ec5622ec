package twcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"time"

	"github.com/turmericwall/turmericwall/internal/operations/twoperations"
	"github.com/turmericwall/turmericwall/internal/operations/twtrace"
)

// daemonCallTimeout bounds one call of a daemon's operators' listener.
const daemonCallTimeout = 5 * time.Second

type status struct {
	operationsFlags
}

// Run shows each daemon, and returns errConditionNotMet unless all of them are reachable, ready and at the same
// revision.
func (s *status) Run(ctx context.Context, o *output) error {
	var all []twoperations.Status
	rows := [][]any{{"DAEMON", "READY", "REVISION", "IN FLIGHT", "DEFERRABLE", "CANCELS", "PEERS", "KEEPS"}}
	allInOrder := true
	for _, address := range s.Daemons {
		d, err := daemonStatus(ctx, address)
		if err != nil {
			allInOrder = false
			rows = append(rows, []any{address, "unreachable"})
			continue
		}
		all = append(all, d)
		allInOrder = allInOrder && d.Ready && d.Revision == all[0].Revision
		rows = append(rows, []any{
			d.Incarnation, d.Ready, d.Revision, d.InFlight, d.Deferrable, d.Cancels, len(d.Peers),
			strings.Join(d.LedServices, ","),
		})
	}
	if err := o.write(all, rows...); err != nil {
		return err
	}
	if !allInOrder {
		return fmt.Errorf("a daemon is unreachable, not ready, or at another revision: %w", errConditionNotMet)
	}
	return nil
}

type drain struct {
	Daemon string `arg:"" help:"Operators' listener of the daemon, as IP:port."`
}

// Run starts a graceful shutdown of the daemon and returns without waiting for its end.
func (d *drain) Run(ctx context.Context, o *output) error {
	if _, err := callDaemon(ctx, http.MethodPost, d.Daemon, "/drain", nil); err != nil {
		return err
	}
	return o.write(struct {
		Draining string `json:"draining"`
	}{d.Daemon}, []any{d.Daemon, "draining; it exits when its requests in flight have finished"})
}

type explain struct {
	operationsFlags
	ID string `arg:"" help:"Request id, from X-Request-Id or a Location."`
}

// Run collects the request's log lines from all daemons and prints them by time.
func (e *explain) Run(ctx context.Context, o *output) error {
	var lines []twtrace.Line
	for _, address := range e.Daemons {
		var found []twtrace.Line
		if _, err := callDaemon(ctx, http.MethodGet, address, "/explain?id="+url.QueryEscape(e.ID), &found); err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return fmt.Errorf("no daemon has a trace of request %s: it is older than the last few thousand, or its daemon was replaced: %w",
			e.ID, errConditionNotMet)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].At.Before(lines[j].At) })
	rows := [][]any{{"AT", "EVENT", "WHAT", "FIELDS"}}
	for _, l := range lines {
		rows = append(rows, []any{l.At.Format("15:04:05.000"), l.Event, l.Name, strings.Join(l.Fields, " ")})
	}
	return o.write(lines, rows...)
}

func daemonStatus(ctx context.Context, address string) (twoperations.Status, error) {
	var s twoperations.Status
	_, err := callDaemon(ctx, http.MethodGet, address, "/status", &s)
	return s, err
}

// callDaemon calls a daemon's operators' listener, decodes the JSON answer into target unless that is nil, and
// returns the status. A status of 400 or more is an error.
func callDaemon(ctx context.Context, method, address, path string, target any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, daemonCallTimeout)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, http.NoBody)
	if err != nil {
		return 0, fmt.Errorf("build the call of a daemon, give daemons as IP:port: %w", err)
	}
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		return 0, fmt.Errorf("call daemon %s, check that it runs: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusBadRequest {
		return response.StatusCode, fmt.Errorf("daemon %s answered with status %d, read its log",
			address, response.StatusCode)
	}
	if target == nil {
		return response.StatusCode, nil
	}
	return response.StatusCode, json.NewDecoder(response.Body).Decode(target)
}
