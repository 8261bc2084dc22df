package schema

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/dynamicpb"
	"storj.io/drpc"
)

// The golden files have what processes of different versions must agree on: encoded messages, numbers of enums, and
// paths of RPCs. They identify a message by its position in mesh.proto and a field by its number, never by name, so
// renames do not change the files. A message may be added after the last one; existing rows never change.
const (
	goldenMessages = "testdata/golden/messages.txt"
	goldenEnums    = "testdata/golden/enums.txt"
	goldenCalls    = "testdata/golden/calls.txt"
)

// exampleDepth is the number of levels of nested messages that are filled in an example.
const exampleDepth = 4

// goldenRow has one message of the golden file.
type goldenRow struct {
	position int      // index of the message in mesh.proto
	format   []string // wire format: a line for each field, ordered by number, then one for each reserved range
	examples [][]byte // encoded messages; together they have each alternative of every oneof
}

// readGoldenRows reads the golden file of messages.
func readGoldenRows(t *testing.T) []goldenRow {
	t.Helper()
	var rows []goldenRow
	for _, line := range goldenLines(t, goldenMessages) {
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "message":
			row := goldenRow{}
			if _, err := fmt.Sscanf(rest, "%d", &row.position); err != nil {
				t.Fatalf("%s: line %q has no message position: %v", goldenMessages, line, err)
			}
			rows = append(rows, row)
		case "field", "reserved":
			last := &rows[len(rows)-1]
			last.format = append(last.format, line)
		case "example":
			data, err := hex.DecodeString(rest)
			if err != nil {
				t.Fatalf("%s: line %q is not hexadecimal: %v", goldenMessages, line, err)
			}
			last := &rows[len(rows)-1]
			last.examples = append(last.examples, data)
		default:
			t.Fatalf("%s: line %q begins with an unknown word", goldenMessages, line)
		}
	}
	return rows
}

// goldenLines returns the lines of a golden file.
func goldenLines(t *testing.T, path string) []string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
}

// wireFormat returns the wire format of a message: its fields by number with kind and cardinality, and the reserved
// numbers.
func wireFormat(message protoreflect.MessageDescriptor) []string {
	var lines []string
	fields := message.Fields()
	for number := protoreflect.FieldNumber(1); len(lines) < fields.Len(); number++ {
		field := fields.ByNumber(number)
		if field == nil {
			continue
		}
		line := fmt.Sprintf("field %d %s", number, kindText(field))
		switch {
		case field.IsMap():
			line = fmt.Sprintf("field %d map of %s to %s", number, kindText(field.MapKey()), kindText(field.MapValue()))
		case field.IsPacked():
			line += " repeated packed"
		case field.IsList():
			line += " repeated"
		case field.HasPresence() && field.Message() == nil && field.ContainingOneof() == nil:
			line += " explicit"
		}
		if oneof := field.ContainingOneof(); oneof != nil {
			line += fmt.Sprintf(" of oneof %d", oneof.Index())
		}
		lines = append(lines, line)
	}
	reserved := message.ReservedRanges()
	for i := range reserved.Len() {
		lines = append(lines, fmt.Sprintf("reserved %d to %d", reserved.Get(i)[0], reserved.Get(i)[1]-1))
	}
	return lines
}

// kindText returns the kind of a field; for a message or enum, it includes its position in the file.
func kindText(field protoreflect.FieldDescriptor) string {
	switch {
	case field.Message() != nil:
		return fmt.Sprintf("message %d", field.Message().Index())
	case field.Enum() != nil:
		return fmt.Sprintf("enum %d", field.Enum().Index())
	}
	return field.Kind().String()
}

// messageType returns the generated Go type of a message, with which programs decode it.
func messageType(t *testing.T, message protoreflect.MessageDescriptor) protoreflect.MessageType {
	t.Helper()
	found, err := protoregistry.GlobalTypes.FindMessageByName(message.FullName())
	if err != nil {
		t.Fatalf("message %s has no generated type: %v", message.FullName(), err)
	}
	return found
}

// fill sets every field of a message to a value that depends on the field's number. Of each oneof it sets only one
// field: its index is alternative modulo the number of fields in the oneof. Messages nested deeper than depth are not
// filled.
func fill(message protoreflect.Message, alternative, depth int) {
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if oneof := field.ContainingOneof(); oneof != nil && oneof.Fields().Get(alternative%oneof.Fields().Len()) != field {
			continue
		}
		if field.Message() != nil && !field.IsMap() && depth == 0 {
			continue
		}
		switch {
		case field.IsMap():
			entries := message.Mutable(field).Map()
			for i := range 2 {
				key := scalar(field.MapKey(), i).MapKey()
				if field.MapValue().Message() == nil {
					entries.Set(key, scalar(field.MapValue(), i))
				} else if value := entries.Mutable(key).Message(); depth > 0 {
					fill(value, alternative, depth-1)
				}
			}
		case field.IsList():
			list := message.Mutable(field).List()
			for i := range 2 {
				if field.Message() == nil {
					list.Append(scalar(field, i))
				} else {
					fill(list.AppendMutable().Message(), alternative, depth-1)
				}
			}
		case field.Message() != nil:
			fill(message.Mutable(field).Message(), alternative, depth-1)
		default:
			message.Set(field, scalar(field, 0))
		}
	}
}

// scalar returns the value of a field in the examples; i is the index of an element in a repeated field or map. Numbers
// are chosen so that kinds with different encodings have different bytes.
func scalar(field protoreflect.FieldDescriptor, i int) protoreflect.Value {
	number := int64(field.Number())*1000 + int64(i)
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(i == 0)
	case protoreflect.EnumKind:
		values := field.Enum().Values()
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(1 + (int(field.Number())+i)%(min(values.Len(), 3)-1)))
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(-number))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(-number << 32)
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(number))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(number) << 40)
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(number) + 0.5)
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(number) + 0.25)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprintf("text-%d", number))
	}
	return protoreflect.ValueOfBytes([]byte(fmt.Sprintf("\x00\xffbytes-%d", number)))
}

// exampleCount returns the number of examples needed to have every alternative of a message's oneofs.
func exampleCount(message protoreflect.MessageDescriptor) int {
	count := 1
	for i := range message.Oneofs().Len() {
		count = max(count, message.Oneofs().Get(i).Fields().Len())
	}
	return count
}

// hasUnknownFields reports whether a message, or a message nested in it at any depth, has fields that are not in its
// descriptor.
func hasUnknownFields(message protoreflect.Message) bool {
	found := len(message.GetUnknown()) > 0
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.IsMap() && field.MapValue().Message() != nil:
			value.Map().Range(func(_ protoreflect.MapKey, element protoreflect.Value) bool {
				found = found || hasUnknownFields(element.Message())
				return true
			})
		case field.IsMap() || field.Message() == nil:
		case field.IsList():
			for i := range value.List().Len() {
				found = found || hasUnknownFields(value.List().Get(i).Message())
			}
		default:
			found = found || hasUnknownFields(value.Message())
		}
		return true
	})
	return found
}

// marshal encodes a message deterministically.
func marshal(t *testing.T, message proto.Message) []byte {
	t.Helper()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		t.Fatalf("Marshal %s: %v", message.ProtoReflect().Descriptor().FullName(), err)
	}
	return data
}

// Every message that another version may have sent or stored still has the same wire format, is decoded without unknown
// fields, and is encoded to the same bytes again.
func TestGoldenMessages(t *testing.T) {
	messages := File_mesh_proto.Messages()
	rows := readGoldenRows(t)
	if len(rows) > messages.Len() {
		t.Fatalf("mesh.proto has %d messages, want at least the %d of the golden file", messages.Len(), len(rows))
	}
	for position, row := range rows {
		t.Run(fmt.Sprint(position), func(t *testing.T) {
			descriptor := messages.Get(position)
			if row.position != position {
				t.Fatalf("row %d of the golden file has message position %d, want %d", position, row.position, position)
			}
			if got, want := strings.Join(wireFormat(descriptor), "\n"), strings.Join(row.format, "\n"); got != want {
				t.Errorf("%s has the wire format\n%s\nwant\n%s", descriptor.FullName(), got, want)
			}
			if want := exampleCount(descriptor); len(row.examples) != want {
				t.Fatalf("%s has %d examples in the golden file, want %d", descriptor.FullName(), len(row.examples), want)
			}
			for alternative, data := range row.examples {
				decoded := messageType(t, descriptor).New()
				if err := proto.Unmarshal(data, decoded.Interface()); err != nil {
					t.Fatalf("Unmarshal example %d of %s: %v", alternative, descriptor.FullName(), err)
				}
				if hasUnknownFields(decoded) {
					t.Errorf("example %d has fields that are unknown in %s, want none", alternative, descriptor.FullName())
				}
				if got := marshal(t, decoded.Interface()); !bytes.Equal(got, data) {
					t.Errorf("example %d of %s, decoded and encoded again, is\n%x\nwant\n%x", alternative, descriptor.FullName(), got, data)
				}
				// A message with the same values, set by field number, is encoded to the same bytes.
				built := dynamicpb.NewMessage(descriptor)
				fill(built, alternative, exampleDepth)
				if got := marshal(t, built); !bytes.Equal(got, data) {
					t.Errorf("%s with the values of example %d is encoded as\n%x\nwant\n%x", descriptor.FullName(), alternative, got, data)
				}
			}
		})
	}
}

// enumLines returns a line for each enum with its numbers, and one for the extension that holds the rules of settings.
func enumLines() []string {
	var lines []string
	enums := File_mesh_proto.Enums()
	for i := range enums.Len() {
		var numbers []string
		for j := range enums.Get(i).Values().Len() {
			numbers = append(numbers, fmt.Sprint(enums.Get(i).Values().Get(j).Number()))
		}
		lines = append(lines, fmt.Sprintf("enum %d of %s", i, strings.Join(numbers, " ")))
	}
	extensions := File_mesh_proto.Extensions()
	for i := range extensions.Len() {
		extension := extensions.Get(i)
		lines = append(lines, fmt.Sprintf("extension %d %s of %s", extension.Number(), kindText(extension), extension.ContainingMessage().FullName()))
	}
	return lines
}

// The numbers of enums never change, nor does that of the extension that holds the rules of settings.
func TestGoldenEnums(t *testing.T) {
	if got, want := strings.Join(enumLines(), "\n"), strings.Join(goldenLines(t, goldenEnums), "\n"); got != want {
		t.Errorf("mesh.proto has the enums and extensions\n%s\nwant\n%s", got, want)
	}
}

// callLines returns a line for each RPC: its path, which sides stream, and the messages by their position.
func callLines() []string {
	var lines []string
	services := File_mesh_proto.Services()
	for i := range services.Len() {
		methods := services.Get(i).Methods()
		for j := range methods.Len() {
			method := methods.Get(j)
			side := func(streams bool, message protoreflect.MessageDescriptor) string {
				text := fmt.Sprintf("message %d", message.Index())
				if streams {
					text = "stream of " + text
				}
				return text
			}
			lines = append(lines, fmt.Sprintf("/%s/%s takes %s gives %s", services.Get(i).FullName(), method.Name(),
				side(method.IsStreamingClient(), method.Input()), side(method.IsStreamingServer(), method.Output())))
		}
	}
	return lines
}

// The paths of RPCs are part of the protocol between versions, so they stay even if Go names change.
func TestGoldenCalls(t *testing.T) {
	want := goldenLines(t, goldenCalls)
	if got := strings.Join(callLines(), "\n"); got != strings.Join(want, "\n") {
		t.Errorf("mesh.proto has the RPCs\n%s\nwant\n%s", got, strings.Join(want, "\n"))
	}
	var served []string
	for _, description := range []drpc.Description{DRPCStoreDescription{}, DRPCRegistryDescription{}, DRPCHopDescription{}} {
		for n := range description.NumMethods() {
			path, _, _, _, found := description.Method(n)
			if !found {
				t.Errorf("%T has no method %d, but NumMethods is %d", description, n, description.NumMethods())
			}
			served = append(served, path)
		}
	}
	for i, line := range want {
		path, _, _ := strings.Cut(line, " ")
		if i >= len(served) || served[i] != path {
			t.Errorf("RPC %d has no generated method for path %s; the generated paths are %q", i, path, served)
		}
	}
	if len(served) != len(want) {
		t.Errorf("the generated services have %d methods, want %d", len(served), len(want))
	}
}
