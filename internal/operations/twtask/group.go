// Package twtask starts goroutines and gathers their ends.
package twtask

import (
	"context"
	"fmt"
)

// Group owns goroutines: each takes its context and reports its end on the group's channel.
type Group struct {
	ctx     context.Context
	cancel  context.CancelFunc
	ends    chan error
	started int
}

// New returns a group whose goroutines stop when ctx ends or Stop is called.
func New(ctx context.Context) *Group {
	inner, cancel := context.WithCancel(ctx)
	return &Group{ctx: inner, cancel: cancel, ends: make(chan error)}
}

// Context ends when the group is to stop.
func (g *Group) Context() context.Context { return g.ctx }

// Start runs work in a goroutine; only the group's owner may call it. The first failure stops the others.
func (g *Group) Start(name string, work func(ctx context.Context) error) {
	g.started++
	go func() {
		err := wrap(name, work(g.ctx))
		if err != nil {
			g.cancel()
		}
		g.ends <- err
	}()
}

// Wait returns when every goroutine has ended, with the first error that is not the context's end.
func (g *Group) Wait() error {
	var first error
	for ; g.started > 0; g.started-- {
		if err := <-g.ends; err != nil && first == nil {
			first = err
		}
	}
	g.cancel()
	return first
}

// Stop asks all goroutines to end.
func (g *Group) Stop() { g.cancel() }

func wrap(name string, err error) error {
	if err == nil || err == context.Canceled {
		return nil
	}
	return fmt.Errorf("%s: %w", name, err)
}
