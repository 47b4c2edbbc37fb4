package org.coriandercrank.peer.internal;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Reads the fields of a message from MessagePack. Not thread safe. */
final class FieldReader {
    /** Reads one element of a list or optional. */
    @FunctionalInterface
    interface ElementReader<T> {
        T read(FieldReader in) throws IOException;
    }

    private final MessageUnpacker unpacker;
    private final int frameBytes;

    FieldReader(byte[] frame) {
        unpacker = MessagePack.newDefaultUnpacker(frame);
        frameBytes = frame.length;
    }

    int int32() throws IOException {
        return unpacker.unpackInt();
    }

    long int64() throws IOException {
        return unpacker.unpackLong();
    }

    double float64() throws IOException {
        return unpacker.unpackDouble();
    }

    boolean bool() throws IOException {
        return unpacker.unpackBoolean();
    }

    String string() throws IOException {
        return unpacker.unpackString();
    }

    byte[] bytes() throws IOException {
        return unpacker.readPayload(checkLength(unpacker.unpackBinaryHeader()));
    }

    <T> Optional<T> optional(ElementReader<T> element) throws IOException {
        if (unpacker.tryUnpackNil()) {
            return Optional.empty();
        }
        return Optional.of(element.read(this));
    }

    <T> List<T> list(ElementReader<T> element) throws IOException {
        int size = checkLength(unpacker.unpackArrayHeader());
        List<T> result = new ArrayList<>(size);
        for (int i = 0; i < size; i++) {
            result.add(element.read(this));
        }
        return result;
    }

    /** Whether fields follow that the sender's version has and earlier versions lack. */
    boolean hasMore() throws IOException {
        return unpacker.hasNext();
    }

    /** Rejects a frame that declares more content than it has, before memory is allocated for that content. */
    private int checkLength(int length) throws IOException {
        if (length > frameBytes) {
            throw new IOException("length " + length + " exceeds the frame size of " + frameBytes + " bytes");
        }
        return length;
    }
}
