package org.coriandercrank.peer.internal;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.coriandercrank.kernel.code.CrankException;
import org.coriandercrank.kernel.code.ResultCode;

/** Compresses and expands the bytes of a frame. Stateless and thread safe. */
final class Deflation {
    private static final int BUFFER_BYTES = 8_192;

    private Deflation() {}

    static byte[] deflate(byte[] bytes) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length / 4);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                out.write(buffer, 0, deflater.deflate(buffer));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }

    /**
     * Expands deflated bytes.
     *
     * @param maxBytes limit on the result, because a few bytes can expand to many
     * @throws CrankException with {@link ResultCode#FRAME_MALFORMED} if the bytes are incomplete, not deflated or too
     *     long
     */
    static byte[] inflate(byte[] bytes, int maxBytes) {
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(bytes);
            ByteArrayOutputStream out = new ByteArrayOutputStream(4 * bytes.length);
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 || out.size() + count > maxBytes) {
                    throw new CrankException(
                            ResultCode.FRAME_MALFORMED,
                            "a deflated frame of " + bytes.length + " bytes is incomplete or expands to more than "
                                    + maxBytes + " bytes");
                }
                out.write(buffer, 0, count);
            }
            return out.toByteArray();
        } catch (DataFormatException e) {
            throw new CrankException(ResultCode.FRAME_MALFORMED, "a frame is not deflated: " + e.getMessage(), e);
        } finally {
            inflater.end();
        }
    }
}
