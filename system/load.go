package system

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"

	"github.com/rotisserie/eris"
)

// defaultBeatIntervalMs applies if the settings file has no interval: a second is short enough for every bound that depends on it.
const defaultBeatIntervalMs = 1000

// Load reads and checks the settings file.
func Load(path string) (Settings, error) {
	contents, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, eris.Wrap(err, "settings")
	}
	return Parse(contents)
}

// Parse reads and checks the contents of a settings file.
func Parse(contents []byte) (Settings, error) {
	settings := Settings{Bounds: DefaultBounds(), BeatIntervalMs: defaultBeatIntervalMs}
	if err := json.Unmarshal(contents, &settings); err != nil {
		return Settings{}, decodingError(contents, err)
	}
	if err := check(settings); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

func decodingError(contents []byte, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return eris.Errorf("settings: %s holds JSON of type %s: want %s", wrongType.Field, wrongType.Value, jsonTypeOf(wrongType.Type))
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return eris.Errorf("settings: line %d is not JSON (%s): want a complete JSON object", lineAt(contents, syntax.Offset), syntax)
	}
	return eris.Wrap(err, "settings")
}

func lineAt(contents []byte, offset int64) int {
	before := contents[:min(int(offset), len(contents))]
	return bytes.Count(before, []byte("\n")) + 1
}
