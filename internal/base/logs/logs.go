// Package logs provides loggers with a prefix for each component of the program, an asynchronous writer and a rate limiter.
package logs

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
)

// New returns a logger that writes one line of text per message to w.
func New(w io.Writer, level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetLevel(level)
	log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	return log
}

// NewJSON returns a logger that writes one JSON object per message and line to w.
func NewJSON(w io.Writer, level logrus.Level) *logrus.Logger {
	log := New(w, level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return log
}

// Logger is the logger of one component of the program.
type Logger struct {
	log    *logrus.Entry
	prefix string
}

// Named returns a logger whose messages have the component's name as prefix.
func Named(log *logrus.Logger, name string) Logger {
	return Logger{log: logrus.NewEntry(log), prefix: name + ": "}
}

// With returns a logger that adds a field to each message.
func (l Logger) With(key string, value any) Logger {
	return Logger{log: l.log.WithField(key, value), prefix: l.prefix}
}

// Fields holds the fields of a message by name.
type Fields = logrus.Fields

// WithAll returns a logger that adds all fields to each message.
func (l Logger) WithAll(fields Fields) Logger {
	return Logger{log: l.log.WithFields(fields), prefix: l.prefix}
}

// Debug logs a message for developers.
func (l Logger) Debug(text string) { l.log.Debug(l.prefix + text) }

// Info logs a message about normal operation.
func (l Logger) Info(text string) { l.log.Info(l.prefix + text) }

// Warn logs a message about a fault that the program handles without an operator.
func (l Logger) Warn(text string) { l.log.Warn(l.prefix + text) }

// Error logs a message about a fault that an operator must act on.
func (l Logger) Error(text string) { l.log.Error(l.prefix + text) }
