package org.coriandercrank.control.test;

import java.lang.reflect.RecordComponent;
import java.util.List;
import org.coriandercrank.kernel.message.Message;
import org.coriandercrank.kernel.store.StoredObject;

/**
 * Size of a message in the form of the design: a length of 4 bytes and a MessagePack array of type, correlation id and
 * fields. Integers count 5 bytes, as for revisions above 65,535. Stateless.
 */
final class WireSize {
    private static final int FRAME_BYTES = 4 + 1 + 1 + 5;
    private static final int INTEGER_BYTES = 5;
    private static final int STRING_HEADER_BYTES = 2;

    private WireSize() {}

    static int of(Message message) {
        return FRAME_BYTES + fields((Record) message);
    }

    private static int value(Object value) {
        if (value instanceof Long || value instanceof Integer) {
            return INTEGER_BYTES;
        }
        if (value instanceof String text) {
            return STRING_HEADER_BYTES + text.length();
        }
        if (value instanceof List<?> list) {
            return 1 + list.stream().mapToInt(WireSize::value).sum();
        }
        if (value instanceof StoredObject object) {
            return value(object.name()) + INTEGER_BYTES + INTEGER_BYTES + object.value().length + 1;
        }
        return value instanceof Record composed ? fields(composed) : 1;
    }

    private static int fields(Record composed) {
        int bytes = 0;
        for (RecordComponent component : composed.getClass().getRecordComponents()) {
            try {
                bytes += value(component.getAccessor().invoke(composed));
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(e);
            }
        }
        return bytes;
    }
}
