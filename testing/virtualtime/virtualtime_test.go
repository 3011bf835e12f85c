package virtualtime

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEventQueueKeepsOrder(t *testing.T) {
	is := is.New(t)
	var queue EventQueue
	var ran []string
	for _, event := range []struct {
		at   time.Duration
		name string
	}{{2, "b"}, {1, "a"}, {2, "c"}, {3, "late"}} {
		queue.Add(event.at, func() { ran = append(ran, event.name) })
	}
	for {
		_, run, found := queue.Next(2)
		if !found {
			break
		}
		run()
	}
	is.Equal(ran, []string{"a", "b", "c"})
	at, _, found := queue.Next(3)
	is.True(found)
	is.Equal(at, time.Duration(3))
}

func TestLinksCutAsNamed(t *testing.T) {
	is := is.New(t)
	links := Links{}
	links.Set("a>b", true)
	is.Equal(links, Links{{"a", "b"}: true})
	links.Set("a-b", true)
	is.Equal(links, Links{{"a", "b"}: true, {"b", "a"}: true})
	clear(links)
	links.Isolate([]string{"a"}, []string{"a", "b", "c"})
	is.Equal(links, Links{{"a", "b"}: true, {"b", "a"}: true, {"a", "c"}: true, {"c", "a"}: true})
}
