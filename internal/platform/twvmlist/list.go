// Package twvmlist is the HTTP client of the platform's list of VMs. Daemons find their peers and the upstreams in it.
package twvmlist

import (
	"context"
	"fmt"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/platform/twhttp"
)

// Lister implements turmericwall.VMLister over HTTP.
type Lister struct {
	client *twhttp.Client
}

// New returns a Lister that sends its requests through the client.
func New(client *twhttp.Client) *Lister { return &Lister{client: client} }

// List returns all VMs that the platform lists; the list lags behind the actual VMs.
func (l *Lister) List(ctx context.Context) ([]turmericwall.VM, error) {
	reply, err := l.client.Get(ctx, "/vms")
	if err != nil {
		return nil, fmt.Errorf("read the VM list: %w", err)
	}
	var vms []turmericwall.VM
	if err := reply.Decode(&vms); err != nil {
		return nil, err
	}
	return vms, nil
}
