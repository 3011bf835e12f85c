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

// Table is everything a gateway works by. One that is sent to a gateway may hold only what has changed since the table that it has.
type Table struct {
	Version             Version
	Base                Version // with a version: Services and Gone are what has changed since; zero: Services is all there are
	Gone                []string
	ConfigurationNumber int64     // 0: none yet
	Configuration       []byte    // as the operator sent it; nil if the gateway said that it has this number
	Services            []Service // sorted by name
	Controllers         []quorum.Member
}

// ErrBaseMismatch: the changes don't follow on the table held.
var ErrBaseMismatch = eris.New("changes to another table than the one held")

// ApplyTo gives the whole table that comes of these changes to the one held.
func (t Table) ApplyTo(held Table) (Table, error) {
	if t.Base == (Version{}) {
		return t, nil
	}
	if t.Base != held.Version {
		return Table{}, ErrBaseMismatch
	}
	whole := t
	whole.Base, whole.Gone = Version{}, nil
	whole.Services = slices.Clone(t.Services)
	changed := lo.SliceToMap(t.Services, func(service Service) (string, struct{}) { return service.Name, struct{}{} })
	for _, kept := range held.Services {
		if _, replaced := changed[kept.Name]; !replaced && !slices.Contains(t.Gone, kept.Name) {
			whole.Services = append(whole.Services, kept)
		}
	}
	SortServices(whole.Services)
	return whole, nil
}

// SortServices sorts by name.
func SortServices(services []Service) {
	slices.SortFunc(services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
}

// DigestOf is the same for the same services, and different for others but by chance in 2^64. After a takeover among the controllers it spares
// gateways the whole table, of which nothing has changed.
func DigestOf(services []Service) uint64 {
	var sum uint64
	for _, service := range services {
		sum += service.digest()
	}
	return sum
}

func (s Service) digest() uint64 {
	sum := fnv.New64a()
	text := func(word string) {
		_, _ = sum.Write([]byte(word))
		_, _ = sum.Write([]byte{0})
	}
	number := func(value uint64) { _, _ = sum.Write(binary.LittleEndian.AppendUint64(nil, value)) }
	flag := func(holds bool) { number(lo.Ternary[uint64](holds, 1, 0)) }
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
