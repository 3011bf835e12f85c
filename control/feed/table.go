package feed

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"eiderway/control/quorum"
)

// Table is the routing information of a gateway. A table sent to a gateway may hold only the changes to the one that the gateway has.
type Table struct {
	Version             Version
	Base                Version // if set, Services and Gone are the changes since this version; if zero, Services is complete
	Gone                []string
	ConfigurationNumber int64     // 0: none yet
	Configuration       []byte    // as the operator sent it; nil if the gateway said that it has this number already
	Services            []Service // sorted by name
	Controllers         []quorum.Member
}

// ErrBaseMismatch is returned when changes are based on another table than the current one.
var ErrBaseMismatch = eris.New("the changes are based on another table than the current one")

// ApplyTo applies the changes in t to the current table and returns the complete result. A table that is complete is returned as it is.
func (t Table) ApplyTo(current Table) (Table, error) {
	if t.Base == (Version{}) {
		return t, nil
	}
	if t.Base != current.Version {
		return Table{}, ErrBaseMismatch
	}
	result := t
	result.Base, result.Gone = Version{}, nil
	result.Services = slices.Clone(t.Services)
	changed := lo.SliceToMap(t.Services, func(service Service) (string, struct{}) { return service.Name, struct{}{} })
	for _, service := range current.Services {
		if _, replaced := changed[service.Name]; !replaced && !slices.Contains(t.Gone, service.Name) {
			result.Services = append(result.Services, service)
		}
	}
	SortServices(result.Services)
	return result, nil
}

// SortServices sorts services by name.
func SortServices(services []Service) {
	slices.SortFunc(services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
}

// DigestOf returns a 64-bit digest of the services: equal for equal services, and different for others except by chance. By it a new
// primary controller recognises that a gateway's services are unchanged, and need not send them all again.
func DigestOf(services []Service) uint64 {
	var sum uint64
	for _, service := range services {
		sum += service.digest()
	}
	return sum
}

func (s Service) digest() uint64 {
	sum := fnv.New64a()
	text := func(value string) {
		_, _ = sum.Write([]byte(value))
		_, _ = sum.Write([]byte{0})
	}
	number := func(value uint64) { _, _ = sum.Write(binary.LittleEndian.AppendUint64(nil, value)) }
	flag := func(value bool) { number(lo.Ternary[uint64](value, 1, 0)) }
	text(s.Name)
	text(s.Leader.InstanceID)
	number(s.Leader.Term)
	flag(s.Frozen)
	for _, instance := range s.Instances {
		text(instance.ID)
		text(instance.Service)
		text(instance.Address)
		text(instance.Zone)
		number(uint64(instance.Slots))
		flag(instance.Draining)
	}
	return sum.Sum64()
}
