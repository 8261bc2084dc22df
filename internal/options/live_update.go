package options

import (
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// LiveUpdate is the result of a reload of settings.
type LiveUpdate struct {
	Current        proto.Message // settings in effect after the reload
	Changed        []string      // flag names of the live settings whose value changed
	PendingRestart []string      // flag names of the other settings whose loaded value differs from that at program start
}

// ApplyLive returns the settings in effect after a reload. Live settings (Rule.live) have the loaded values; all others
// keep the values of current. initial has the settings at program start, current those in effect so far, and loaded
// those that were just read. All three must be of the same type; none is written to.
func ApplyLive(initial, current, loaded proto.Message) LiveUpdate {
	update := LiveUpdate{Current: proto.Clone(current)}
	loadedFields, updatedFields, initialFields := loaded.ProtoReflect(), update.Current.ProtoReflect(), initial.ProtoReflect()
	fields := loadedFields.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		switch live := ruleOf(field).Live; {
		case live && !sameValue(loadedFields, updatedFields, field):
			updatedFields.Clear(field)
			if loadedFields.Has(field) {
				updatedFields.Set(field, loadedFields.Get(field))
			}
			update.Changed = append(update.Changed, flagName(field))
		case !live && !sameValue(loadedFields, initialFields, field):
			update.PendingRestart = append(update.PendingRestart, flagName(field))
		}
	}
	return update
}

func sameValue(a, b protoreflect.Message, field protoreflect.FieldDescriptor) bool {
	return a.Get(field).Equal(b.Get(field))
}
