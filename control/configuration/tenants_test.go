package configuration_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"eiderway/control/configuration"
)

// withTenants returns the valid configuration with the given table of tenants.
func withTenants(table string) []byte {
	return []byte(strings.Replace(valid, `"routeTable"`, `"tenantTable":`+table+`,"routeTable"`, 1))
}

func TestParseReadsTenants(t *testing.T) {
	is := is.New(t)
	document, err := configuration.Parse(withTenants(
		`[{"name":"bakers","apiKeys":["flour","yeast","flour"],"priority":1,"ratePerS":2.5,"burstSize":10},{"name":"smiths"}]`))
	is.NoErr(err)
	is.True(document.Contents.HasTenants)
	is.Equal(document.Contents.Tenants, []configuration.Tenant{
		{Name: "bakers", Keys: []string{"flour", "yeast", "flour"}, Priority: 1, Limited: true, RatePerS: 2.5, BurstSize: 10},
		{Name: "smiths"},
	})
	document, err = configuration.Parse(withTenants(`[]`))
	is.NoErr(err)
	is.True(document.Contents.HasTenants) // no client is accepted
	document, err = configuration.Parse([]byte(valid))
	is.NoErr(err)
	is.True(!document.Contents.HasTenants)
}

// Rule ROUTE: an invalid table of tenants must not be treated as a missing one, with which no keys are needed. A refusal quotes no key.
func TestInvalidTenantsAreRefusedWithoutQuotingKeys(t *testing.T) {
	for name, table := range map[string]string{
		"null":                 `null`,
		"an object":            `{"sesame":[]}`,
		"a text":               `"sesame"`,
		"a tenant of text":     `["sesame"]`,
		"no name":              `[{"apiKeys":["sesame"]}]`,
		"a name with a blank":  `[{"name":"the bakers","apiKeys":["sesame"]}]`,
		"a name with a line":   `[{"name":"bakers\r\nQUIT","apiKeys":["sesame"]}]`,
		"one name twice":       `[{"name":"bakers","apiKeys":["sesame"]},{"name":"bakers"}]`,
		"one key of two":       `[{"name":"bakers","apiKeys":["sesame"]},{"name":"smiths","apiKeys":["sesame"]}]`,
		"an empty key":         `[{"name":"bakers","apiKeys":["sesame",""]}]`,
		"a key with a blank":   `[{"name":"bakers","apiKeys":["sesame "]}]`,
		"a key of two words":   `[{"name":"bakers","apiKeys":["sesame seed"]}]`,
		"a key with a line":    `[{"name":"bakers","apiKeys":["sesame\n"]}]`,
		"a key that is none":   `[{"name":"bakers","apiKeys":["sesame",7]}]`,
		"keys that are a text": `[{"name":"bakers","apiKeys":"sesame"}]`,
		"a rate below 0":       `[{"name":"bakers","apiKeys":["sesame"],"ratePerS":-1}]`,
		"a rate of text":       `[{"name":"bakers","apiKeys":["sesame"],"ratePerS":"sesame"}]`,
		"a burst below 0":      `[{"name":"bakers","apiKeys":["sesame"],"ratePerS":1,"burstSize":-1}]`,
		"a priority below 0":   `[{"name":"bakers","apiKeys":["sesame"],"priority":-1}]`,
		"keys that are fields": `[{"name":"bakers","apiKeys":{"sesame":1,"sesame":2}}]`,
		"a field twice":        `[{"name":"bakers","sesame":1,"sesame":2}]`,
		"a broken table":       `[{"name":"bakers","apiKeys":["sesame"]`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := configuration.Parse(withTenants(table))
			if err == nil {
				t.Fatal("it was accepted")
			}
			if strings.Contains(err.Error(), "sesame") {
				t.Errorf("the error quotes a key: %v", err)
			}
		})
	}
}
