package main

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"
)

// lineFormatter writes an entry as one line: time of day, level, message, fields sorted by name. The lines are kept short
// since writing them costs processor time, and so does forwarding them to other machines.
type lineFormatter struct{}

const timeLayout = "15:04:05.000"

// Format implements logrus.Formatter.
func (lineFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	line := entry.Buffer
	if line == nil {
		line = &bytes.Buffer{}
	}
	line.Write(entry.Time.AppendFormat(line.AvailableBuffer(), timeLayout))
	line.WriteByte(' ')
	line.WriteString(levelName(entry.Level))
	line.WriteByte(' ')
	line.WriteString(oneLine(entry.Message))
	for _, name := range fieldNames(entry.Data) {
		fmt.Fprintf(line, " %s=%s", name, oneLine(fmt.Sprint(entry.Data[name])))
	}
	line.WriteByte('\n')
	return line.Bytes(), nil
}

func levelName(level logrus.Level) string {
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
	log.SetFormatter(lineFormatter{})
	log.SetLevel(logrus.InfoLevel)
	return log
}
