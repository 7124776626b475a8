package fleet

import (
	"slices"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/serving/route"
	"cowslipshunt.example/wire"
)

// backlogMemory is the weight of the backlog before in the smoothed one, at one look each half second.
const backlogMemory = 0.7

// Wanted is how many endpoints of one kind a service should have in a failure domain.
type Wanted struct {
	Service wire.ServiceName
	Domain  wire.DomainName
	Spot    bool
	Count   int
}

// Scaler decides how many endpoints of one service are ordered. It is for one goroutine.
type Scaler struct {
	policy Policy
	// dry are the failure domains whose spot endpoints were reclaimed or refused.
	dry map[wire.DomainName]bool
	// looked are the failure domains that were looked at before.
	looked map[wire.DomainName]bool
	// backlog is the smoothed number of tokens that wait to be prefilled at each prefill engine.
	backlog float64
}

// NewScaler returns a scaler that has seen nothing.
func NewScaler(p Policy) *Scaler {
	return &Scaler{policy: p, dry: map[wire.DomainName]bool{}, looked: map[wire.DomainName]bool{}}
}

// Refused notes that an order of spot endpoints was refused: there are none to be had.
func (s *Scaler) Refused(d wire.DomainName) {
	s.dry[d] = true
}

// Look takes in the endpoints that are listed and returns what is wanted in each failure domain. Spot endpoints cost a
// fraction of steady ones, so they carry the load while they are to be had. Steady ones stand in for a part of those that
// were reclaimed if requests wait meanwhile; the other places stay free, so that spot ones can come back.
func (s *Scaler) Look(service *route.Service, list []*roster.Endpoint, domains []wire.DomainName) []Wanted {
	s.backlog = backlogMemory*s.backlog + (1-backlogMemory)*backlog(list)
	if service.Scale == nil {
		return nil
	}
	var wanted []Wanted
	for _, d := range domains {
		steady := min(max(s.policy.Steady, service.Scale.Min), service.Scale.Max)
		spot := 0
		if service.Scale.SpotPrice > 0 {
			spot = service.Scale.Max - steady
			steady += s.standIns(list, d, spot)
		}
		wanted = append(wanted, Wanted{Service: service.Name, Domain: d, Count: steady}, Wanted{Service: service.Name, Domain: d, Spot: true, Count: spot})
	}
	return wanted
}

// standIns returns how many steady endpoints stand in for spot ones in a failure domain.
func (s *Scaler) standIns(list []*roster.Endpoint, d wire.DomainName, spot int) int {
	listed := Listed(list, d, true)
	standing := Listed(list, d, false) > s.policy.Steady
	first := !s.looked[d]
	s.looked[d] = true
	switch {
	case first && standing && 2*listed < spot && slices.ContainsFunc(list, func(e *roster.Endpoint) bool { return e.Entry().Spot }):
		// Other spot endpoints run, so a holder before has ordered these steady ones as stand-ins.
		s.dry[d] = true
	case reclaimed(list, d):
		s.dry[d] = true
	case 2*listed >= spot:
		s.dry[d] = false
	}
	if !s.dry[d] {
		return 0
	}
	if !standing && s.backlog < s.policy.StandInBacklog {
		return 0
	}
	return int(s.policy.StandIns * float64(spot-listed))
}

// Listed counts the endpoints of a kind in a failure domain that stay.
func Listed(list []*roster.Endpoint, d wire.DomainName, spot bool) int {
	n := 0
	for _, e := range list {
		if entry := e.Entry(); entry.Domain == d && entry.Spot == spot && !entry.Leaving {
			n++
		}
	}
	return n
}

// reclaimed tells whether spot endpoints of a failure domain are leaving.
func reclaimed(list []*roster.Endpoint, d wire.DomainName) bool {
	for _, e := range list {
		if entry := e.Entry(); entry.Domain == d && entry.Spot && entry.Leaving {
			return true
		}
	}
	return false
}

// backlog is the mean number of tokens that wait at a prefill engine.
func backlog(list []*roster.Endpoint) float64 {
	tokens, engines := 0, 0
	for _, e := range list {
		if e.Entry().Stage == roster.Prefill {
			tokens += e.PrefillLoad()
			engines++
		}
	}
	return float64(tokens) / float64(max(engines, 1))
}
