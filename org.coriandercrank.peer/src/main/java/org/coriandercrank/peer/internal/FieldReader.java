package org.coriandercrank.peer.internal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Reads fields of a message in MessagePack. Not thread safe. */
final class FieldReader {
    /** Reads one element of a list or optional. */
    @FunctionalInterface
    interface Element<T> {
        T read(FieldReader in) throws IOException;
    }

    private final MessageUnpacker unpacker;
    private final int frameBytes;

    FieldReader(byte[] frame) {
        unpacker = MessagePack.newDefaultUnpacker(frame);
        frameBytes = frame.length;
    }

    int integer32() throws IOException {
        return unpacker.unpackInt();
    }

    long integer() throws IOException {
        return unpacker.unpackLong();
    }

    double real() throws IOException {
        return unpacker.unpackDouble();
    }

    boolean flag() throws IOException {
        return unpacker.unpackBoolean();
    }

    String text() throws IOException {
        return unpacker.unpackString();
    }

    byte[] bytes() throws IOException {
        return unpacker.readPayload(checkedLength(unpacker.unpackBinaryHeader()));
    }

    <T> Optional<T> optional(Element<T> element) throws IOException {
        if (unpacker.tryUnpackNil()) {
            return Optional.empty();
        }
        return Optional.of(element.read(this));
    }

    <T> List<T> list(Element<T> element) throws IOException {
        int size = checkedLength(unpacker.unpackArrayHeader());
        List<T> result = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            result.add(element.read(this));
        }
        return result;
    }

    /** Guards against a frame that claims more content than it has, before memory is reserved for it. */
    private int checkedLength(int length) throws IOException {
        if (length > frameBytes) {
            throw new IOException("length " + length + " exceeds the frame of " + frameBytes + " bytes");
        }
        return length;
    }
}
