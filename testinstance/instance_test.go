package testinstance

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"eiderway/testing/loopback"
	"eiderway/wire"
)

const waitTimeout = 10 * time.Second

// cluster is a service of three instances with a platform and a controller that acknowledges every heartbeat.
type cluster struct {
	*testing.T
	service   *Service
	instances []*Instance
	platform  *Platform
	beats     chan heartbeat
	leaves    chan string
}

func startCluster(t *testing.T, change func(*Settings)) *cluster {
	t.Helper()
	c := &cluster{T: t, beats: make(chan heartbeat, 1000), leaves: make(chan string, 10)}
	leading := httptest.NewServer(http.HandlerFunc(c.acknowledge))
	sending := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		http.Redirect(writer, request, leading.URL+request.URL.Path, http.StatusTemporaryRedirect)
	}))
	settings := DefaultSettings("orders", func() []string { return []string{strings.TrimPrefix(sending.URL, "http://")} })
	settings.BeatInterval = 20 * time.Millisecond
	settings.DrainTime = 20 * time.Millisecond
	settings.StepDownDelay = 50 * time.Millisecond
	if change != nil {
		change(&settings)
	}
	c.service = NewService(settings)
	t.Cleanup(func() {
		c.service.Stop()
		sending.Close()
		leading.Close()
	})
	for _, id := range []string{"a", "b", "c"} {
		started, err := c.service.Start(id, freeAddress(t), "z")
		if err != nil {
			t.Fatal(err)
		}
		c.instances = append(c.instances, started)
	}
	platform, err := StartPlatform("127.0.0.1:0", PlatformSettings{FenceChecked: true}, c.service)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(platform.Stop)
	c.platform = platform
	return c
}

func (c *cluster) acknowledge(writer http.ResponseWriter, request *http.Request) {
	if strings.HasSuffix(request.URL.Path, "/leave") {
		c.leaves <- request.URL.Path
		return
	}
	var beat heartbeat
	if json.NewDecoder(request.Body).Decode(&beat) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case c.beats <- beat:
	default:
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	return loopback.ReserveForTest(t).Address()
}

// session is a client connection that returns answers as short texts.
type session struct {
	*testing.T
	conn *wire.Conn
}

func (c *cluster) dial(instance *Instance) *session {
	c.Helper()
	conn, err := wire.Dial(c.Context(), instance.Address(), "orders", "test", instance.ID())
	if err != nil {
		c.Fatal(err)
	}
	c.Cleanup(conn.Close)
	return &session{T: c.T, conn: conn}
}

func (s *session) ask(text string) string {
	s.Helper()
	answer, err := s.conn.QueryUntil(time.Now().Add(waitTimeout), "q", text)
	switch {
	case err != nil:
		return "broken"
	case answer.Code != "":
		return string(answer.Code) + " " + string(answer.State)
	}
	return strings.Join(append(answer.Rows, string(answer.State)), " ")
}

func (c *cluster) eventually(what string, holds func() bool) {
	c.Helper()
	for start := time.Now(); !holds(); time.Sleep(time.Millisecond) {
		if time.Since(start) > waitTimeout {
			c.Fatalf("timed out waiting until %s", what)
		}
	}
}

func (c *cluster) failover(id string, fence int) int {
	c.Helper()
	body := strings.NewReader(`{"targetService":"orders","instanceId":"` + id + `"}`)
	request, _ := http.NewRequest(http.MethodPost, "http://"+c.platform.Address()+"/failover", body)
	request.Header.Set(holderHeader, "test")
	request.Header.Set(fenceHeader, strconv.Itoa(fence))
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

func TestSessionExecutesStatements(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	primary := c.dial(c.instances[0])
	for _, step := range []struct{ text, want string }{
		{"PUT k one", "I"}, {"FETCH k", "one I"}, {"BEGIN", "T"}, {"PUT k two", "T"}, {"FETCH k", "two T"},
		{"ABORT", "I"}, {"FETCH k", "one I"}, {"BEGIN", "T"}, {"PUT k three", "T"}, {"COMMIT", "I"}, {"FETCH k", "three I"},
		{"PREPARE s PUT shape", "I"}, {"EXECUTE s k four", "I"}, {"FETCH k", "four I"}, {"RESET", "I"}, {"EXECUTE s k five", "NOSTMT I"},
		{"BEGIN FETCH", "T"}, {"PUT k six", "READONLY E"}, {"FETCH k", "MALFORMED E"}, {"COMMIT", "ROLLEDBACK I"},
		{"AFTERPOS 1.3 FETCH k", "four I"}, {"AFTERPOS 1.99 FETCH k", "LAGGING I"}, {"COMMIT", "MALFORMED I"},
	} {
		is.Equal(primary.ask(step.text), step.want) // step.text
	}
	replica := c.dial(c.instances[1])
	is.Equal(replica.ask("PUT k seven"), "READONLY I")
	is.Equal(replica.ask("BEGIN"), "READONLY I")
	_, err := wire.Dial(t.Context(), c.instances[0].Address(), "orders", "test", "other")
	var refused *wire.RefusedError
	is.True(err != nil)
	is.True(asRefused(err, &refused) && refused.Code == wire.WrongNode)
}

func asRefused(err error, refused **wire.RefusedError) bool {
	found, is := err.(*wire.RefusedError)
	*refused = found
	return is
}

func TestInstanceEnforcesItsLimits(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, func(settings *Settings) {
		settings.MaxConnections, settings.Slots, settings.Work = 2, 1, 300*time.Millisecond
	})
	first, second := c.dial(c.instances[0]), c.dial(c.instances[0])
	_, err := wire.Dial(t.Context(), c.instances[0].Address(), "orders", "test", "")
	var refused *wire.RefusedError
	is.True(asRefused(err, &refused) && refused.Code == wire.ConnLimit)
	done := make(chan string, 1)
	go func() { done <- first.ask("FETCH k") }()
	c.eventually("the slot is taken", func() bool { return c.instances[0].Status().Busy == 1 })
	is.Equal(second.ask("FETCH k"), "BUSY I")
	is.Equal(<-done, "I")
}

// TestPromotionTruncatesUnreplicatedCommits isolates the primary, which goes on alone: its commit is never answered, and is
// truncated once the instance follows the new primary.
func TestPromotionTruncatesUnreplicatedCommits(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	a, b, d := c.instances[0], c.instances[1], c.instances[2]
	old := c.dial(a)
	is.Equal(old.ask("PUT k kept"), "I")
	c.eventually("b has it", func() bool { return len(b.Log()) == 1 })
	c.service.Cut(a, b, true)
	c.service.Cut(a, d, true)
	answered := make(chan string, 1)
	go func() { answered <- old.ask("PUT k lost") }()
	c.eventually("a has both", func() bool { return len(a.Log()) == 2 })

	status, err := c.dial(b).conn.Pause(t.Context(), 7)
	is.NoErr(err)
	is.Equal(status.TermHeld, uint64(7))
	is.Equal(c.failover("b", 5), http.StatusOK)
	c.eventually("b leads", func() bool { return b.Status().Primary })
	is.Equal(b.Status().Term, uint64(7))
	is.True(a.Status().Primary) // it isn't notified of the promotion
	is.Equal(c.failover("c", 4), http.StatusConflict)
	is.Equal(c.failover("b", 5), http.StatusOK) // b is the primary already
	is.Equal(len(c.platform.Calls()), 3)

	c.service.Cut(a, b, false)
	is.Equal(<-answered, "broken")
	c.eventually("a follows", func() bool { return !a.Status().Primary && len(a.Log()) == 1 })
	is.Equal(c.dial(b).ask("FETCH k"), "kept I")
	is.Equal(len(c.service.Journal().Promotions), 2)
}

func TestPauseStepDownAndRestart(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	a, b, d := c.instances[0], c.instances[1], c.instances[2]
	paused := c.dial(b)
	_, err := paused.conn.Pause(t.Context(), 5)
	is.NoErr(err)
	is.Equal(c.dial(a).ask("PUT k one"), "I") // one other replica is enough
	is.Equal(len(b.Log()), 0)
	_, err = paused.conn.Continue(t.Context())
	is.NoErr(err)
	c.eventually("b has caught up", func() bool { return len(b.Log()) == 1 })

	d.Crash()
	is.Equal(c.failover("c", 1), http.StatusConflict)
	is.NoErr(d.Restart())
	is.Equal(len(d.Log()), 1)

	status, err := c.dial(a).conn.StepDown(t.Context(), 9)
	is.NoErr(err)
	is.True(!status.Primary)
	is.Equal(c.dial(a).ask("PUT k two"), "READONLY I")
}

// TestThawedPrimaryStaysPrimaryForAWhile resumes a primary that was replaced while it was frozen: it answers as the primary
// until the step-down delay is over.
func TestThawedPrimaryStaysPrimaryForAWhile(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, func(settings *Settings) { settings.StepDownDelay = 500 * time.Millisecond })
	a := c.instances[0]
	old := c.dial(a)
	a.Freeze(true)
	answered := make(chan string, 1)
	go func() { answered <- old.ask("FETCH k") }()
	is.Equal(c.failover("b", 1), http.StatusOK)
	c.eventually("b leads", func() bool { return c.instances[1].Status().Primary })
	is.Equal(c.dial(c.instances[1]).ask("PUT k new"), "I")
	is.Equal(len(answered), 0)
	a.Freeze(false)
	is.Equal(<-answered, "I") // it lacks the new primary's write
	c.eventually("a follows", func() bool { return !a.Status().Primary && len(a.Log()) == 1 })
}

func TestPromotionSurvivesALostAnswer(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	c.platform.Set(func(settings *PlatformSettings) { settings.LoseAnswers = 1 })
	is.Equal(c.failover("b", 1), 0)
	c.eventually("b leads all the same", func() bool { return c.service.Leader() == c.instances[1] })
}

func TestDrainingInstanceReportsAndLeaves(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	c.instances[1].Drain()
	sequences := map[string]uint64{}
	for draining, primary := false, false; !draining || !primary; {
		select {
		case beat := <-c.beats:
			is.True(beat.CallSeq > sequences[beat.Address])
			sequences[beat.Address] = beat.CallSeq
			draining = draining || beat.OperState == "draining"
			primary = primary || beat.DBRole == "primary"
		case <-ctx.Done():
			t.Fatal("no heartbeat of a draining instance, or none of a primary")
		}
	}
	select {
	case path := <-c.leaves:
		is.Equal(path, "/instances/b/leave")
	case <-ctx.Done():
		t.Fatal("no leave was sent")
	}
	c.eventually("it has ended", func() bool { _, err := net.Dial("tcp4", c.instances[1].Address()); return err != nil })
}

// TestLogsThatShareMemoryDoNotOverwriteEachOther guards against an entry of one log that shows up in another one: a primary appends in
// place, and its replicas' logs share its memory.
func TestLogsThatShareMemoryDoNotOverwriteEachOther(t *testing.T) {
	is := is.New(t)
	service := NewService(DefaultSettings("s", nil))
	first, second := &Instance{service: service, id: "first", term: 1}, &Instance{service: service, id: "second", term: 1}
	service.instances = []*Instance{first, second}
	for range 3 {
		first.appendEntry("shared", nil)
	}
	second.receive(first, time.Now().Add(time.Hour))
	shared := first.Log()

	second.term = 2
	second.appendEntry("second's", nil)
	first.appendEntry("first's", nil)
	first.term = 3
	is.Equal(len(shared), 3)
	is.Equal(first.Log()[3].ID, "first's")
	is.Equal(second.Log()[3].ID, "second's")

	first.enterTerm(second, time.Now()) // cut back to what both have
	first.appendEntry("first's again", nil)
	is.Equal(second.Log()[3].ID, "second's")
	is.Equal(shared[2].ID, "shared")
}
