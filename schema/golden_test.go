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

// The golden files have what processes of different versions must agree on: messages as bytes, and the paths of
// RPCs. They identify messages by their position in mesh.proto and fields by their number, never by name, so that
// renames do not change them. A message may be added after the last one; existing rows never change.
const (
	goldenMessages = "testdata/golden/messages.txt"
	goldenEnums    = "testdata/golden/enums.txt"
	goldenCalls    = "testdata/golden/calls.txt"
)

// exampleDepth bounds how deeply the messages within an example are filled.
const exampleDepth = 4

// goldenRow is one message of the golden file.
type goldenRow struct {
	place    int
	shape    []string // a line for each field, ordered by number
	examples [][]byte // together they have each alternative of every oneof
}

// readGoldenRows reads the golden messages.
func readGoldenRows(t *testing.T) []goldenRow {
	t.Helper()
	var rows []goldenRow
	for _, line := range goldenLines(t, goldenMessages) {
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "message":
			row := goldenRow{}
			if _, err := fmt.Sscanf(rest, "%d", &row.place); err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			rows = append(rows, row)
		case "field", "reserved":
			last := &rows[len(rows)-1]
			last.shape = append(last.shape, line)
		case "example":
			data, err := hex.DecodeString(rest)
			if err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			last := &rows[len(rows)-1]
			last.examples = append(last.examples, data)
		default:
			t.Fatalf("unexpected line %q", line)
		}
	}
	return rows
}

func goldenLines(t *testing.T, path string) []string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(data), "\n"), "\n")
}

// shapeOf gives a message's wire format: its fields by number, with kind and cardinality, and the reserved numbers.
func shapeOf(message protoreflect.MessageDescriptor) []string {
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

// kindText names a field's kind; messages and enums are named by their position in the file.
func kindText(field protoreflect.FieldDescriptor) string {
	switch {
	case field.Message() != nil:
		return fmt.Sprintf("message %d", field.Message().Index())
	case field.Enum() != nil:
		return fmt.Sprintf("enum %d", field.Enum().Index())
	}
	return field.Kind().String()
}

// messageType gives the generated Go type of a message, with which programs decode it.
func messageType(t *testing.T, message protoreflect.MessageDescriptor) protoreflect.MessageType {
	t.Helper()
	found, err := protoregistry.GlobalTypes.FindMessageByName(message.FullName())
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// fill sets every field of a message by its number, and of each oneof the alternative with an index, modulo their
// number.
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
			for turn := range 2 {
				key := scalar(field.MapKey(), turn).MapKey()
				if field.MapValue().Message() == nil {
					entries.Set(key, scalar(field.MapValue(), turn))
				} else if value := entries.Mutable(key).Message(); depth > 0 {
					fill(value, alternative, depth-1)
				}
			}
		case field.IsList():
			list := message.Mutable(field).List()
			for turn := range 2 {
				if field.Message() == nil {
					list.Append(scalar(field, turn))
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

// scalar gives the value of a field in the examples. Numbers are chosen so that kinds with different encodings give
// different bytes.
func scalar(field protoreflect.FieldDescriptor, turn int) protoreflect.Value {
	number := int64(field.Number())*1000 + int64(turn)
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(turn == 0)
	case protoreflect.EnumKind:
		values := field.Enum().Values()
		return protoreflect.ValueOfEnum(protoreflect.EnumNumber(1 + (int(field.Number())+turn)%(min(values.Len(), 3)-1)))
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

// alternatives is the number of examples needed to have every alternative of a message's oneofs.
func alternatives(message protoreflect.MessageDescriptor) int {
	most := 1
	for i := range message.Oneofs().Len() {
		most = max(most, message.Oneofs().Get(i).Fields().Len())
	}
	return most
}

// unknownIn tells whether a message has fields, at any depth, that are not in its descriptor.
func unknownIn(message protoreflect.Message) bool {
	found := len(message.GetUnknown()) > 0
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		switch {
		case field.IsMap() && field.MapValue().Message() != nil:
			value.Map().Range(func(_ protoreflect.MapKey, one protoreflect.Value) bool {
				found = found || unknownIn(one.Message())
				return true
			})
		case field.IsMap() || field.Message() == nil:
		case field.IsList():
			for i := range value.List().Len() {
				found = found || unknownIn(value.List().Get(i).Message())
			}
		default:
			found = found || unknownIn(value.Message())
		}
		return true
	})
	return found
}

func marshal(t *testing.T, message proto.Message) []byte {
	t.Helper()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Every message that another version may have sent or stored still has its wire format, is decoded without unknown
// fields, and is encoded to the same bytes again.
func TestGoldenMessages(t *testing.T) {
	messages := File_mesh_proto.Messages()
	rows := readGoldenRows(t)
	if len(rows) > messages.Len() {
		t.Fatalf("%d messages are left of %d", messages.Len(), len(rows))
	}
	for place, row := range rows {
		t.Run(fmt.Sprint(place), func(t *testing.T) {
			descriptor := messages.Get(place)
			if row.place != place {
				t.Fatalf("row %d is of message %d", place, row.place)
			}
			if got, want := strings.Join(shapeOf(descriptor), "\n"), strings.Join(row.shape, "\n"); got != want {
				t.Errorf("%s has the shape\n%s\nwant\n%s", descriptor.FullName(), got, want)
			}
			if want := alternatives(descriptor); len(row.examples) != want {
				t.Fatalf("%d examples, want %d", len(row.examples), want)
			}
			for alternative, data := range row.examples {
				read := messageType(t, descriptor).New()
				if err := proto.Unmarshal(data, read.Interface()); err != nil {
					t.Fatalf("example %d: %v", alternative, err)
				}
				if unknownIn(read) {
					t.Errorf("example %d holds fields that %s does not know", alternative, descriptor.FullName())
				}
				if again := marshal(t, read.Interface()); !bytes.Equal(again, data) {
					t.Errorf("example %d is written as\n%x\nwant\n%x", alternative, again, data)
				}
				// The same values, set by field number, encode to the same bytes.
				made := dynamicpb.NewMessage(descriptor)
				fill(made, alternative, exampleDepth)
				if got := marshal(t, made); !bytes.Equal(got, data) {
					t.Errorf("example %d is built as\n%x\nwant\n%x", alternative, got, data)
				}
			}
		})
	}
}

// enumLines lists the numbers of each enum, and the extension with the rules of settings.
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
		one := extensions.Get(i)
		lines = append(lines, fmt.Sprintf("extension %d %s of %s", one.Number(), kindText(one), one.ContainingMessage().FullName()))
	}
	return lines
}

// The numbers of enums never change, nor does that of the extension with the rules of settings.
func TestGoldenEnums(t *testing.T) {
	if got, want := strings.Join(enumLines(), "\n"), strings.Join(goldenLines(t, goldenEnums), "\n"); got != want {
		t.Errorf("enums are\n%s\nwant\n%s", got, want)
	}
}

// callLines lists the RPCs: path, which sides stream, and the messages by their position.
func callLines() []string {
	var lines []string
	services := File_mesh_proto.Services()
	for i := range services.Len() {
		methods := services.Get(i).Methods()
		for j := range methods.Len() {
			one := methods.Get(j)
			stream := func(streams bool, message protoreflect.MessageDescriptor) string {
				text := fmt.Sprintf("message %d", message.Index())
				if streams {
					text = "stream of " + text
				}
				return text
			}
			lines = append(lines, fmt.Sprintf("/%s/%s takes %s gives %s", services.Get(i).FullName(), one.Name(),
				stream(one.IsStreamingClient(), one.Input()), stream(one.IsStreamingServer(), one.Output())))
		}
	}
	return lines
}

// The paths of RPCs are part of the protocol between versions, so they stay even where Go names change.
func TestGoldenCalls(t *testing.T) {
	want := goldenLines(t, goldenCalls)
	if got := strings.Join(callLines(), "\n"); got != strings.Join(want, "\n") {
		t.Errorf("calls are\n%s\nwant\n%s", got, strings.Join(want, "\n"))
	}
	var served []string
	for _, one := range []drpc.Description{DRPCStoreDescription{}, DRPCRegistryDescription{}, DRPCHopDescription{}} {
		for n := range one.NumMethods() {
			path, _, _, _, found := one.Method(n)
			if !found {
				t.Errorf("%T has no method %d", one, n)
			}
			served = append(served, path)
		}
	}
	for i, line := range want {
		path, _, _ := strings.Cut(line, " ")
		if i >= len(served) || served[i] != path {
			t.Errorf("call %d is not served as %s", i, path)
		}
	}
	if len(served) != len(want) {
		t.Errorf("%d calls are served, want %d", len(served), len(want))
	}
}
