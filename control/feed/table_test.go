package feed

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func serviceOf(name, leader string, instances ...string) Service {
	service := Service{Name: name, Leader: Leader{InstanceID: leader, Term: 1}}
	for _, id := range instances {
		service.Instances = append(service.Instances, Instance{ID: id, Service: name, Address: id + ":1"})
	}
	return service
}

func TestChangesApplyToTheirBaseOnly(t *testing.T) {
	is := is.New(t)
	first, second := Version{Epoch: 1, Sequence: 4}, Version{Epoch: 1, Sequence: 7}
	current := Table{Version: first, Services: []Service{serviceOf("a", "a1", "a1"), serviceOf("b", "b1", "b1"), serviceOf("c", "c1", "c1")}}
	changes := Table{Version: second, Base: first, Gone: []string{"a"}, Services: []Service{serviceOf("aa", "x", "x"), serviceOf("c", "c2", "c1", "c2")}}
	result, err := changes.ApplyTo(current)
	is.NoErr(err)
	is.Equal(result, Table{Version: second, Services: []Service{serviceOf("aa", "x", "x"), serviceOf("b", "b1", "b1"), serviceOf("c", "c2", "c1", "c2")}})
	_, err = changes.ApplyTo(Table{Version: second})
	is.True(errors.Is(err, ErrBaseMismatch))
	replaced, err := Table{Version: second, Services: changes.Services}.ApplyTo(current)
	is.NoErr(err)
	is.Equal(len(replaced.Services), 2)
}

func TestDigestDiffersForDifferentTables(t *testing.T) {
	is := is.New(t)
	table := func() []Service { return []Service{serviceOf("a", "a1", "a1", "a2"), serviceOf("b", "b1", "b1")} }
	before := DigestOf(table())
	is.Equal(DigestOf(table()), before)
	for _, change := range []func([]Service){
		func(services []Service) { services[0].Frozen = true },
		func(services []Service) { services[0].Leader.Term++ },
		func(services []Service) { services[1].Leader.InstanceID = "b2" },
		func(services []Service) { services[0].Instances[1].Draining = true },
		func(services []Service) { services[0].Instances[1].Address = "other:1" },
		func(services []Service) { services[0].Instances = services[0].Instances[:1] },
		func(services []Service) { services[1].Name = "c" },
	} {
		changed := table()
		change(changed)
		is.True(DigestOf(changed) != before)
	}
	is.True(DigestOf(table()[:1]) != before)
}
