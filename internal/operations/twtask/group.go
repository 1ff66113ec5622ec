// Package twtask runs the long-running tasks of a daemon as a group of goroutines: when one fails the others are
// cancelled, and the group returns the first error.
package twtask

import (
	"context"
	"fmt"
	"runtime/debug"
)

// Group owns a set of goroutines, which share its context and send their result on its channel. Start and Wait must be
// called by one goroutine only.
type Group struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	results chan error
	running int
}

// New returns an empty group whose context is cancelled when ctx ends, Stop is called or a goroutine fails.
func New(ctx context.Context) *Group {
	inner, cancel := context.WithCancelCause(ctx)
	return &Group{ctx: inner, cancel: cancel, results: make(chan error)}
}

// Context returns the group's context, which is cancelled when its goroutines must stop. Its cause is the error of the
// goroutine that failed, if one did.
func (g *Group) Context() context.Context { return g.ctx }

// Start runs work in a goroutine; an error or a panic cancels the group's context. Only the group's owner may call
// Start.
func (g *Group) Start(name string, work func(ctx context.Context) error) {
	g.running++
	go func() {
		err := wrapError(name, run(g.ctx, work))
		if err != nil {
			g.cancel(err)
		}
		g.results <- err
	}()
}

// Wait returns when every goroutine has ended, with the first error that is not context.Canceled.
func (g *Group) Wait() error {
	var firstErr error
	for ; g.running > 0; g.running-- {
		if err := <-g.results; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	g.cancel(nil)
	return firstErr
}

// Stop cancels the group's context; Wait then waits for the goroutines.
func (g *Group) Stop() { g.cancel(nil) }

// run returns the error of work; a panic is one, so that the owner can end the process in order.
func run(ctx context.Context, work func(ctx context.Context) error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("panicked: %v\n%s", cause, debug.Stack())
		}
	}()
	return work(ctx)
}

// wrapError adds the task's name to the error; a cancelled context is no error.
func wrapError(name string, err error) error {
	if err == nil || err == context.Canceled {
		return nil
	}
	return fmt.Errorf("%s: %w", name, err)
}
