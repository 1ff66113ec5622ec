package twpeer

import (
	"time"

	"github.com/turmericwall/turmericwall"
)

// Deadlines are sent as the time that is left, since the clocks of two VMs are never compared.

// EncodeArrival returns the request for placing the arrival.
func EncodeArrival(now time.Time, a turmericwall.Arrival) *PlaceRequest {
	return &PlaceRequest{
		Attempt:          a.Attempt,
		Service:          a.Service,
		Model:            a.Model,
		Account:          a.Account,
		Work:             a.Work,
		Urgent:           a.Urgent,
		Worth:            a.Worth,
		TokenGapMillis:   a.TokenGapMillis,
		PromptTokens:     int32(a.PromptTokens),
		MaxTokens:        int32(a.MaxTokens),
		Blocks:           a.BlockHashes,
		FirstTokenMicros: remaining(now, a.FirstTokenDeadline),
		GiveUpMicros:     remaining(now, a.GiveUpDeadline),
		Resumed:          a.Resumed,
		Prefilled:        a.ExportEngine,
		Avoid:            a.Avoid,
	}
}

// DecodeArrival returns the arrival of a request.
func DecodeArrival(now time.Time, m *PlaceRequest) turmericwall.Arrival {
	return turmericwall.Arrival{
		Attempt:            m.GetAttempt(),
		Service:            m.GetService(),
		Model:              m.GetModel(),
		Account:            m.GetAccount(),
		Work:               m.GetWork(),
		Urgent:             m.GetUrgent(),
		Worth:              m.GetWorth(),
		TokenGapMillis:     m.GetTokenGapMillis(),
		PromptTokens:       int(m.GetPromptTokens()),
		MaxTokens:          int(m.GetMaxTokens()),
		BlockHashes:        m.GetBlocks(),
		FirstTokenDeadline: deadline(now, m.GetFirstTokenMicros()),
		GiveUpDeadline:     deadline(now, m.GetGiveUpMicros()),
		Resumed:            m.GetResumed(),
		ExportEngine:       m.GetPrefilled(),
		Avoid:              m.GetAvoid(),
	}
}

// EncodeGrant returns the reply that grants a placement.
func EncodeGrant(now time.Time, g turmericwall.Grant) *PlaceReply {
	return &PlaceReply{
		Granted:          true,
		Prefill:          encodeVM(g.Prefill),
		Decode:           encodeVM(g.Decode),
		ReservedMicros:   remaining(now, g.ReservedUntil),
		CachedTokens:     int32(g.CachedTokens),
		FirstTokenMicros: remaining(now, g.FirstTokenAt),
		Reason:           g.Reason,
		Considered:       int32(g.EnginesConsidered),
	}
}

// EncodeRefusal returns the reply that refuses a placement, with the retry time.
func EncodeRefusal(now time.Time, p *turmericwall.Problem) *PlaceReply {
	return &PlaceReply{
		Reason: p.Detail(), RetryMicros: remaining(now, p.RetryAt()), Never: p.Kind() == turmericwall.KindTooLarge,
	}
}

// DecodeGrant returns the grant of a reply, or its refusal as a turmericwall.Problem.
func DecodeGrant(now time.Time, attempt string, m *PlaceReply) (turmericwall.Grant, error) {
	if !m.GetGranted() {
		return turmericwall.Grant{}, turmericwall.NewRefusalProblem(turmericwall.Refusal{
			Reason: m.GetReason(), RetryAt: deadline(now, m.GetRetryMicros()), Permanent: m.GetNever(),
		})
	}
	return turmericwall.Grant{
		Attempt:           attempt,
		Prefill:           decodeVM(m.GetPrefill()),
		Decode:            decodeVM(m.GetDecode()),
		ReservedUntil:     deadline(now, m.GetReservedMicros()),
		CachedTokens:      int(m.GetCachedTokens()),
		FirstTokenAt:      deadline(now, m.GetFirstTokenMicros()),
		Reason:            m.GetReason(),
		EnginesConsidered: int(m.GetConsidered()),
	}, nil
}

// EncodeEndings returns the request that reports the endings of attempts.
func EncodeEndings(endings []turmericwall.Ending) *FinishRequest {
	m := &FinishRequest{}
	for _, e := range endings {
		m.Endings = append(m.Endings, &Ending{Service: e.Service, Attempt: e.Attempt, FailedEngine: e.FailedEngine})
	}
	return m
}

// DecodeEndings returns the endings of a request.
func DecodeEndings(m *FinishRequest) []turmericwall.Ending {
	endings := make([]turmericwall.Ending, 0, len(m.GetEndings()))
	for _, e := range m.GetEndings() {
		endings = append(endings, turmericwall.Ending{
			Service: e.GetService(), Attempt: e.GetAttempt(), FailedEngine: e.GetFailedEngine(),
		})
	}
	return endings
}

// EncodeVMs returns the reply with a list of VMs.
func EncodeVMs(vms []turmericwall.VM) *FetchVMsReply {
	m := &FetchVMsReply{}
	for _, vm := range vms {
		m.Vms = append(m.Vms, &ListedVM{
			Name: vm.Name, Service: vm.Service, Region: vm.Region, Zone: vm.Zone,
			Address: vm.Address, State: string(vm.State),
		})
	}
	return m
}

// DecodeVMs returns the list of VMs of a reply.
func DecodeVMs(m *FetchVMsReply) []turmericwall.VM {
	vms := make([]turmericwall.VM, 0, len(m.GetVms()))
	for _, vm := range m.GetVms() {
		vms = append(vms, turmericwall.VM{
			Name: vm.GetName(), Service: vm.GetService(), Region: vm.GetRegion(), Zone: vm.GetZone(),
			Address: vm.GetAddress(), State: turmericwall.VMState(vm.GetState()),
		})
	}
	return vms
}

func encodeVM(vm turmericwall.VM) *Placement {
	return &Placement{Name: vm.Name, Address: vm.Address, Zone: vm.Zone}
}

func decodeVM(m *Placement) turmericwall.VM {
	return turmericwall.VM{Name: m.GetName(), Address: m.GetAddress(), Zone: m.GetZone()}
}

// remaining returns the time left until the deadline in microseconds: at least 1 for a set deadline, since 0 stands
// for none.
func remaining(now, deadline time.Time) int64 {
	if deadline.IsZero() {
		return 0
	}
	return max(1, deadline.Sub(now).Microseconds())
}

// deadline returns the time at which the microseconds have passed, or the zero time for 0.
func deadline(now time.Time, micros int64) time.Time {
	if micros == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(micros) * time.Microsecond)
}
