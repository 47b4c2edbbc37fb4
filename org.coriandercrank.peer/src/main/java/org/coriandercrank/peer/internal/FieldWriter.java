package org.coriandercrank.peer.internal;

import java.io.IOException;
import java.util.Collection;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes the fields of a message as MessagePack. Not thread safe. */
final class FieldWriter {
    /** Writes one element of a list or optional. */
    @FunctionalInterface
    interface ElementWriter<T> {
        void write(FieldWriter out, T value) throws IOException;
    }

    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    FieldWriter int64(long value) throws IOException {
        packer.packLong(value);
        return this;
    }

    FieldWriter float64(double value) throws IOException {
        packer.packDouble(value);
        return this;
    }

    FieldWriter bool(boolean value) throws IOException {
        packer.packBoolean(value);
        return this;
    }

    FieldWriter string(Object value) throws IOException {
        packer.packString(value.toString());
        return this;
    }

    FieldWriter bytes(byte[] value) throws IOException {
        packer.packBinaryHeader(value.length);
        packer.writePayload(value);
        return this;
    }

    <T> FieldWriter optional(Optional<T> value, ElementWriter<T> element) throws IOException {
        if (value.isPresent()) {
            element.write(this, value.get());
        } else {
            packer.packNil();
        }
        return this;
    }

    <T> FieldWriter list(Collection<T> values, ElementWriter<T> element) throws IOException {
        packer.packArrayHeader(values.size());
        for (T value : values) {
            element.write(this, value);
        }
        return this;
    }

    byte[] toByteArray() {
        return packer.toByteArray();
    }
}
