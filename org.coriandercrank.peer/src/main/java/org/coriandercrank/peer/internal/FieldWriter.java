package org.coriandercrank.peer.internal;

import java.io.IOException;
import java.util.Collection;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes fields of a message in MessagePack. Not thread safe. */
final class FieldWriter {
    /** Writes one element of a collection or optional. */
    @FunctionalInterface
    interface Element<T> {
        void write(FieldWriter out, T value) throws IOException;
    }

    private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

    FieldWriter integer(long value) throws IOException {
        packer.packLong(value);
        return this;
    }

    FieldWriter real(double value) throws IOException {
        packer.packDouble(value);
        return this;
    }

    FieldWriter flag(boolean value) throws IOException {
        packer.packBoolean(value);
        return this;
    }

    FieldWriter text(Object value) throws IOException {
        packer.packString(value.toString());
        return this;
    }

    FieldWriter bytes(byte[] value) throws IOException {
        packer.packBinaryHeader(value.length);
        packer.writePayload(value);
        return this;
    }

    <T> FieldWriter optional(Optional<T> value, Element<T> element) throws IOException {
        if (value.isPresent()) {
            element.write(this, value.get());
        } else {
            packer.packNil();
        }
        return this;
    }

    <T> FieldWriter list(Collection<T> values, Element<T> element) throws IOException {
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
