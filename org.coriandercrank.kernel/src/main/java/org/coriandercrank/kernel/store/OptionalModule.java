package org.coriandercrank.kernel.store;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.BeanProperty;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.ContextualDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;
import java.util.Optional;

/** Jackson module that represents an {@link Optional} by its value, or by null if it is empty. */
final class OptionalModule extends SimpleModule {
    private static final long serialVersionUID = 1L;

    @SuppressWarnings({"unchecked", "rawtypes"})
    OptionalModule() {
        addSerializer((Class) Optional.class, new Writer());
        addDeserializer((Class) Optional.class, new Reader(null));
    }

    private static final class Writer extends JsonSerializer<Optional<?>> {
        @Override
        public boolean isEmpty(SerializerProvider provider, Optional<?> value) {
            return value.isEmpty();
        }

        @Override
        public void serialize(Optional<?> value, JsonGenerator out, SerializerProvider provider) throws IOException {
            provider.defaultSerializeValue(value.orElse(null), out);
        }
    }

    private static final class Reader extends JsonDeserializer<Optional<?>> implements ContextualDeserializer {
        private final JavaType contentType;

        Reader(JavaType contentType) {
            this.contentType = contentType;
        }

        @Override
        public JsonDeserializer<?> createContextual(DeserializationContext context, BeanProperty property) {
            return new Reader(context.getContextualType().containedType(0));
        }

        @Override
        public Optional<?> deserialize(JsonParser in, DeserializationContext context) throws IOException {
            return Optional.of((Object) context.readValue(in, contentType));
        }

        @Override
        public Optional<?> getNullValue(DeserializationContext context) {
            return Optional.empty();
        }

        @Override
        public Object getAbsentValue(DeserializationContext context) {
            return Optional.empty();
        }
    }
}
