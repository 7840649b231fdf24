package crowd

import (
	"context"
	"math"
	"net"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

const (
	callTimeout = 500 * time.Millisecond

	// filledDepth is how deep the messages within a filled message are filled.
	filledDepth = 4
)

// OddCalls calls each method of a service with messages that no process sends: empty ones, ones that
// can't be decoded, and ones whose fields are all set to an extreme value. It ignores the responses.
// Its error is that of a connection that couldn't be opened.
func OddCalls(address string, service protoreflect.ServiceDescriptor) error {
	for i := range service.Methods().Len() {
		method := service.Methods().Get(i)
		name := "/" + string(service.FullName()) + "/" + string(method.Name())
		for _, message := range oddMessages(method.Input()) {
			if err := call(address, name, message); err != nil {
				return err
			}
		}
	}
	return nil
}

// oddMessages returns encoded messages for calls that take a type.
func oddMessages(kind protoreflect.MessageDescriptor) [][]byte {
	out := [][]byte{{}, []byte("\xff\xff\xff\xff")}
	for _, v := range []extremes{
		{number: 0, text: ""},
		{number: math.MaxInt64, text: "x"},
		{number: math.MinInt64, text: strings.Repeat("x", 1<<10)},
	} {
		message := dynamicpb.NewMessage(kind)
		v.fill(message, filledDepth)
		// It fails for no message of these types.
		data, _ := proto.Marshal(message)
		out = append(out, data)
	}
	return out
}

// extremes are the values of the fields of a filled message.
type extremes struct {
	number int64
	text   string
}

func (v extremes) fill(message protoreflect.Message, depth int) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		switch {
		case field.IsMap():
			entries := message.Mutable(field).Map()
			entries.Set(v.scalar(field.MapKey()).MapKey(), v.element(field.MapValue(), entries.NewValue, depth))
		case field.IsList():
			list := message.Mutable(field).List()
			list.Append(v.element(field, list.NewElement, depth))
		default:
			message.Set(field, v.element(field, func() protoreflect.Value { return message.NewField(field) }, depth))
		}
	}
}

// element returns a value of a field, which is a filled message or a scalar.
func (v extremes) element(field protoreflect.FieldDescriptor, empty func() protoreflect.Value, depth int) protoreflect.Value {
	if field.Message() == nil {
		return v.scalar(field)
	}
	value := empty()
	if depth > 0 {
		v.fill(value.Message(), depth-1)
	}
	return value
}

func (v extremes) scalar(field protoreflect.FieldDescriptor) protoreflect.Value {
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(v.number != 0)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(v.number))
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(v.number >> 32))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(v.number))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(v.number))
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(v.number))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(v.number))
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(v.text)
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(v.text))
	default:
		return protoreflect.ValueOfInt64(v.number)
	}
}

// call makes one call on a new connection.
func call(address, name string, message []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var dialer net.Dialer
	netConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	conn := drpcconn.New(netConn)
	defer func() { _ = conn.Close() }()
	stream, err := conn.NewStream(ctx, name, raw{})
	if err != nil {
		return nil
	}
	_ = stream.MsgSend(message, raw{})
	_ = stream.CloseSend()
	var response []byte
	_ = stream.MsgRecv(&response, raw{})
	return nil
}

// raw is the encoding of messages that are encoded already.
type raw struct{}

var _ drpc.Encoding = raw{}

// Marshal implements drpc.Encoding.
func (raw) Marshal(message drpc.Message) ([]byte, error) {
	data, _ := message.([]byte)
	return data, nil
}

// Unmarshal implements drpc.Encoding.
func (raw) Unmarshal(data []byte, message drpc.Message) error {
	if into, ok := message.(*[]byte); ok {
		*into = append([]byte(nil), data...)
	}
	return nil
}
