package org.coriandercrank.kernel.store;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;

/** Encodes and decodes objects of the store as JSON. Stateless and thread safe. Unknown fields are ignored. */
public final class JsonCodec {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new OptionalModule())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .serializationInclusion(JsonInclude.Include.NON_NULL)
            .build();

    private JsonCodec() {}

    /** The mapper that this codec uses; callers must not change it. */
    public static ObjectMapper mapper() {
        return MAPPER;
    }

    public static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new CrankException(
                    ResultCode.INTERNAL, "cannot encode " + value.getClass().getSimpleName(), e);
        }
    }

    /** @throws CrankException with {@link ResultCode#STORE_MALFORMED} if the bytes are not the JSON form of the type */
    public static <T> T decode(byte[] bytes, Class<T> type) {
        try {
            T value = MAPPER.readValue(bytes, type);
            if (value == null) {
                throw new CrankException(ResultCode.STORE_MALFORMED, type.getSimpleName() + " is null");
            }
            return value;
        } catch (IOException e) {
            throw new CrankException(
                    ResultCode.STORE_MALFORMED, "cannot read " + type.getSimpleName() + ": " + e.getMessage(), e);
        }
    }
}
