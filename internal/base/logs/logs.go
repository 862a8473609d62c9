// Package logs gives each part of the program its own prefix in one log.
package logs

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// New returns a log that writes one line a message to w.
func New(w io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	return log
}

// NewJSON returns a log that writes one JSON object a message to w.
func NewJSON(w io.Writer, level logrus.Level) *logrus.Logger {
	log := New(w, level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return log
}

// Logger is the log of one part of the program.
type Logger struct {
	log    *logrus.Entry
	prefix string
}

// Named returns a log whose messages begin with the part's name.
func Named(log *logrus.Logger, name string) Logger {
	return Logger{log: logrus.NewEntry(log), prefix: name + ": "}
}

// With returns a log that adds a field to each message.
func (p Logger) With(key string, value any) Logger {
	return Logger{log: p.log.WithField(key, value), prefix: p.prefix}
}

// Fields are the fields of one message, by name.
type Fields = logrus.Fields

// WithAll returns a log that adds all fields to each message.
func (p Logger) WithAll(fields Fields) Logger {
	return Logger{log: p.log.WithFields(fields), prefix: p.prefix}
}

// Debug logs what only a developer asks for.
func (p Logger) Debug(text string) { p.log.Debug(p.prefix + text) }

// Info logs what an operator may want to know.
func (p Logger) Info(text string) { p.log.Info(p.prefix + text) }

// Warn logs what an operator should know.
func (p Logger) Warn(text string) { p.log.Warn(p.prefix + text) }

// Error logs what an operator must act on.
func (p Logger) Error(text string) { p.log.Error(p.prefix + text) }
