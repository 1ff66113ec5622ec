// Package twvmlist is the client of the platform's list of VMs.
package twvmlist

import (
	"context"
	"fmt"

	"github.com/turmericwall/turmericwall"
	"github.com/turmericwall/turmericwall/internal/platform/twhttp"
)

// List implements turmericwall.VMLister over HTTP.
type List struct {
	client *twhttp.Client
}

// New returns a list that calls through the client.
func New(client *twhttp.Client) *List { return &List{client: client} }

// List reads the whole list.
func (l *List) List(ctx context.Context) ([]turmericwall.VM, error) {
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
