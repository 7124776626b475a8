package channel

import (
	"context"

	"cowslipshunt.example/wire"
	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/message/router/middleware"
	"github.com/phuslu/log"
)

// NewRouter returns a watermill router that recovers from panics in its handlers.
func NewRouter(logger *log.Logger) (*message.Router, error) {
	router, err := message.NewRouter(message.RouterConfig{}, logAdapter{logger: logger})
	if err != nil {
		return nil, err
	}
	router.AddMiddleware(middleware.Recoverer)
	return router, nil
}

// Handle calls f with each message of a topic. If a message can't be decoded or f returns an error, Handle logs the error and drops
// the message. Messages of different topics are handled concurrently; see HandleInOrder.
func Handle[T any](router *message.Router, h *Hub, topic string, f func(ctx context.Context, from wire.InstanceName, v T) error) {
	HandleInOrder(router, h, topic, On(topic, f))
}

// Handler handles the messages of one topic.
type Handler struct {
	topic  string
	handle func(m *message.Message, from wire.InstanceName) error
}

// On returns a Handler that calls f with each message of a topic.
func On[T any](topic string, f func(ctx context.Context, from wire.InstanceName, v T) error) Handler {
	return Handler{topic: topic, handle: func(m *message.Message, from wire.InstanceName) error {
		v, err := Decode[T](m.Payload)
		if err != nil {
			return err
		}
		return f(m.Context(), from, v)
	}}
}

// HandleInOrder handles the messages of several topics one after another, in the order in which each link received them. It is for
// messages that are only correct in the order in which they were sent. Errors are treated as by Handle. name names the group.
func HandleInOrder(router *message.Router, h *Hub, name string, handlers ...Handler) {
	byTopic := map[string]Handler{}
	topics := make([]string, 0, len(handlers))
	for _, handler := range handlers {
		byTopic[handler.topic] = handler
		topics = append(topics, handler.topic)
	}
	router.AddConsumerHandler(name, name, groupSubscriber{Hub: h, topics: topics}, func(m *message.Message) error {
		from := wire.InstanceName(m.Metadata.Get(metadataFrom))
		topic := m.Metadata.Get(metadataTopic)
		if err := byTopic[topic].handle(m, from); err != nil {
			h.logger.Warn().Err(err).Str("Topic", topic).Str("From", string(from)).Msg("control message failed")
		}
		return nil
	})
}

// groupSubscriber subscribes to a group of topics.
type groupSubscriber struct {
	*Hub
	topics []string
}

// Subscribe returns a channel with the messages of all topics of the group. The name of the group is not a topic.
func (s groupSubscriber) Subscribe(ctx context.Context, _ string) (<-chan *message.Message, error) {
	return s.subscribe(ctx, s.topics...), nil
}

// Send publishes v on a topic to one instance, or to every linked instance if to is empty.
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

// logAdapter writes watermill's log lines to the program's logger.
type logAdapter struct {
	logger *log.Logger
	fields watermill.LogFields
}

// Error logs an error.
func (a logAdapter) Error(text string, err error, fields watermill.LogFields) {
	a.write(a.logger.Error().Err(err), text, fields)
}

// Info logs at trace level, as watermill's info lines are of no use to an operator.
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

// With returns an adapter that adds the fields to each line.
func (a logAdapter) With(fields watermill.LogFields) watermill.LoggerAdapter {
	return logAdapter{logger: a.logger, fields: a.fields.Add(fields)}
}

func (a logAdapter) write(e *log.Entry, text string, fields watermill.LogFields) {
	for k, v := range a.fields.Add(fields) {
		e = e.Any(k, v)
	}
	e.Msg(text)
}
