package options

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Renewed are the settings in force once a changed file was read.
type Renewed struct {
	Now     proto.Message // what is in force, of the same kind as before
	Moved   []string      // settings that count at once, and are another than before
	Waiting []string      // settings that are another than at the start, and count from the next start on
}

// Renew takes from what was read the settings that may change while a program runs; all others
// stay as they were at its start.
func Renew(started, held, read proto.Message) Renewed {
	renewed := Renewed{Now: proto.Clone(held)}
	from, to, first := read.ProtoReflect(), renewed.Now.ProtoReflect(), started.ProtoReflect()
	fields := from.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		switch live := ruleOf(field).Live; {
		case live && !sameValue(from, to, field):
			to.Clear(field)
			if from.Has(field) {
				to.Set(field, from.Get(field))
			}
			renewed.Moved = append(renewed.Moved, flagName(field))
		case !live && !sameValue(from, first, field):
			renewed.Waiting = append(renewed.Waiting, flagName(field))
		}
	}
	return renewed
}

func sameValue(one, other protoreflect.Message, field protoreflect.FieldDescriptor) bool {
	return one.Get(field).Equal(other.Get(field))
}
