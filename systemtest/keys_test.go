package systemtest

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"eiderway/control/store"
	"eiderway/systemtest/workload"
	"eiderway/wire"
)

// outputs are texts that left a process, by a name of their origin.
type outputs map[string]string

// expectNoKey fails the test if an output contains a key.
func (o outputs) expectNoKey(t *testing.T) {
	t.Helper()
	for what, text := range o {
		for _, key := range allKeys() {
			if strings.Contains(text, key) {
				t.Errorf("%s: contains a key: %q", what, text)
			}
		}
	}
}

// A key must not appear in any log, error, metric, output of a command or HTTP answer, except that of GET /config/fetch.
func TestTenantsKeysAreNeverDisclosed(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	const metrics = "9464/metrics"
	w := startTenants(t, noSettings, noLinks, shortBounds, "--metrics", metrics)
	answers := outputs{}
	for name, table := range badTenants() {
		body := strings.Replace(string(w.operator().Body(1<<40, "bad", []workload.Tenant{})), `"tenantTable":[]`, `"tenantTable":`+table, 1)
		for _, address := range w.controls() {
			status, text := post(t, "http://"+address+"/config/replace", body)
			is.True(status != http.StatusOK) // the name in answers says which table
			answers[name+" at "+address] = text
		}
	}
	for _, key := range allKeys() {
		for _, line := range []string{
			"CONNECT shop " + key + " x", "CONNECT shop " + key + " ", "CONNECT shop  " + key, "CONNECT " + key, "CONNECT shop " + key + "x",
			"CONNECT shed " + key, "HELLO " + key, key,
		} {
			answers[line] = w.answerTo(line)
		}
	}
	w.change(tenantsWith())
	w.awaitRefused(1, 0, doomedKey)
	w.awaitRefused(2, 1, doomedKey)
	for number := range gatewayCount {
		answers[gatewayName(number)+"'s metrics"] = get(t, "http://"+w.layout.Gateway(number).IPAddress+":"+metrics)
	}
	for number := range workload.ControllerCount {
		answers[controllerName(number)+"'s metrics"] = get(t, "http://"+w.layout.Controller(number, false, "").IPAddress+":"+metrics)
	}
	w.awaitMembers()
	stopped := w.leader()
	w.controllers[stopped].terminate()
	file := filepath.Join(w.dataOf(stopped), store.FileName)
	answers["check"] = command(is, "check", w.controllers[stopped].path)
	answers["state check"] = command(is, "state", "check", file)
	answers["state dump"] = command(is, "state", "dump", file)
	w.startController(stopped, false)
	w.awaitOrders("after the look at its state")
	answers.expectNoKey(t)
	w.conclude() // also searches the logs for keys
	is.True(w.logged("configuration taken over") > 0)
}

// badTenants returns tables of tenants that must be refused, by what is wrong with them.
func badTenants() outputs {
	return outputs{
		"a shared key":       `[{"name":"a","apiKeys":["` + doomedKey + `"]},{"name":"b","apiKeys":["` + doomedKey + `"]}]`,
		"a key with a blank": `[{"name":"a","apiKeys":["` + doomedKey + ` x"]}]`,
		"keys as fields":     `[{"name":"a","apiKeys":{"` + doomedKey + `":1,"` + doomedKey + `":2}}]`,
		"a key as table":     `"` + doomedKey + `"`,
		"a key as tenant":    `["` + doomedKey + `"]`,
		"a key as rate":      `[{"name":"a","apiKeys":["` + doomedKey + `"],"ratePerS":"` + doomedKey + `"}]`,
		"no name":            `[{"apiKeys":["` + doomedKey + `"]}]`,
		"an unreadable body": `[{"name":"a","apiKeys":["` + doomedKey + `"`,
		"half a surrogate":   `[{"name":"a","apiKeys":["` + doomedKey + `\ud800"]}]`,
		"not UTF-8":          `[{"name":"a","apiKeys":["` + doomedKey + "\xff" + `"]}]`,
	}
}

// answerTo returns the answer of a gateway to the first line of a client.
func (w *world) answerTo(line string) string {
	w.Helper()
	network, err := net.Dial("tcp4", w.layout.Front(0))
	if err != nil {
		w.Fatal(err)
	}
	defer network.Close()
	if _, err := io.WriteString(network, line+"\r\n"); err != nil {
		w.Fatal(err)
	}
	answer, _ := wire.NewReader(network).ReadLine()
	return answer
}

func post(t *testing.T, url, body string) (status int, text string) {
	t.Helper()
	answer, err := workload.NewHTTPClient(0).Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	content, _ := io.ReadAll(answer.Body)
	return answer.StatusCode, string(content)
}

func get(t *testing.T, url string) string {
	t.Helper()
	answer, err := workload.NewHTTPClient(0).Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	content, _ := io.ReadAll(answer.Body)
	if !bytes.Contains(content, []byte("eidersystem_")) {
		t.Errorf("%s: no metrics", url)
	}
	return string(content)
}

// command runs the program with these arguments and returns all its output.
func command(is *is.I, arguments ...string) string {
	is.Helper()
	output, err := exec.Command(binary, arguments...).CombinedOutput()
	is.NoErr(err)
	is.True(len(output) > 0)
	return string(output)
}
