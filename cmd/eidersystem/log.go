package main

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"
)

// lineFormat writes an entry as one short line: time of day, level, message, fields in order of their names. Writing
// costs processor time, and so does sending what was written elsewhere.
type lineFormat struct{}

const timeOfDay = "15:04:05.000"

// Format implements logrus.Formatter.
func (lineFormat) Format(entry *logrus.Entry) ([]byte, error) {
	line := entry.Buffer
	if line == nil {
		line = &bytes.Buffer{}
	}
	line.Write(entry.Time.AppendFormat(line.AvailableBuffer(), timeOfDay))
	line.WriteByte(' ')
	line.WriteString(levelMark(entry.Level))
	line.WriteByte(' ')
	line.WriteString(oneLine(entry.Message))
	for _, name := range fieldNames(entry.Data) {
		fmt.Fprintf(line, " %s=%s", name, oneLine(fmt.Sprint(entry.Data[name])))
	}
	line.WriteByte('\n')
	return line.Bytes(), nil
}

func levelMark(level logrus.Level) string {
	switch level {
	case logrus.WarnLevel:
		return "warn"
	case logrus.InfoLevel:
		return "info"
	case logrus.DebugLevel, logrus.TraceLevel:
		return "debug"
	}
	return "error"
}

func fieldNames(fields logrus.Fields) []string {
	if len(fields) == 0 {
		return nil
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func oneLine(text string) string {
	if !strings.ContainsAny(text, "\r\n") {
		return text
	}
	return strings.NewReplacer("\r", " ", "\n", " ").Replace(text)
}

func newLog(output io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(output)
	log.SetFormatter(lineFormat{})
	log.SetLevel(logrus.InfoLevel)
	return log
}
