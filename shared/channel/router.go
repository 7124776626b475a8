package channel

import (
	"context"

	"cowslipshunt.example/wire"
	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/message/router/middleware"
	"github.com/phuslu/log"
)

// NewRouter returns a watermill router whose handlers survive a panic.
func NewRouter(logger *log.Logger) (*message.Router, error) {
	router, err := message.NewRouter(message.RouterConfig{}, logAdapter{logger: logger})
	if err != nil {
		return nil, err
	}
	router.AddMiddleware(middleware.Recoverer)
	return router, nil
}

// Handle routes the messages of a topic to f. A message that does not decode, or that f fails, is logged and dropped.
func Handle[T any](router *message.Router, h *Hub, topic string, f func(ctx context.Context, from wire.InstanceName, v T) error) {
	router.AddConsumerHandler(topic, topic, h, func(m *message.Message) error {
		from := wire.InstanceName(m.Metadata.Get(metadataFrom))
		v, err := Decode[T](m.Payload)
		if err == nil {
			err = f(m.Context(), from, v)
		}
		if err != nil {
			h.logger.Warn().Err(err).Str("Topic", topic).Str("From", string(from)).Msg("control message failed")
		}
		return nil
	})
}

// Send publishes v on a topic to one instance, or to every linked one if to is empty.
func Send(p message.Publisher, to wire.InstanceName, topic string, v any) error {
	payload, err := Encode(v)
	if err != nil {
		return err
	}
	m := message.NewMessage(watermill.NewUUID(), payload)
	if to != "" {
		m.Metadata.Set(metadataTo, string(to))
	}
	return p.Publish(topic, m)
}

// logAdapter writes watermill's logs with the program's logger.
type logAdapter struct {
	logger *log.Logger
	fields watermill.LogFields
}

// Error logs an error.
func (a logAdapter) Error(text string, err error, fields watermill.LogFields) {
	a.write(a.logger.Error().Err(err), text, fields)
}

// Info logs at trace level: watermill's news is of no use to an operator.
func (a logAdapter) Info(text string, fields watermill.LogFields) {
	a.write(a.logger.Trace(), text, fields)
}

// Debug logs at trace level.
func (a logAdapter) Debug(text string, fields watermill.LogFields) {
	a.write(a.logger.Trace(), text, fields)
}

// Trace logs at trace level.
func (a logAdapter) Trace(text string, fields watermill.LogFields) {
	a.write(a.logger.Trace(), text, fields)
}

// With returns an adapter that adds fields to each line.
func (a logAdapter) With(fields watermill.LogFields) watermill.LoggerAdapter {
	return logAdapter{logger: a.logger, fields: a.fields.Add(fields)}
}

func (a logAdapter) write(e *log.Entry, text string, fields watermill.LogFields) {
	for k, v := range a.fields.Add(fields) {
		e = e.Any(k, v)
	}
	e.Msg(text)
}
