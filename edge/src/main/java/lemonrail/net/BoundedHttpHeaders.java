package lemonrail.net;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.util.Map;
import java.util.function.LongPredicate;

/**
 * The fields of a head or of trailers while they are decoded, bounded in number: a field of four bytes becomes an
 * entry, a name and a value, so a bound on bytes alone does not bound the memory.
 */
public final class BoundedHttpHeaders extends DefaultHttpHeaders {

    /** The maximum number of fields of a head, and of trailers. */
    public static final int MAX_FIELDS = 100;
    /** The objects of a field: its entry, and the headers of its name, its value and their arrays. */
    private static final long FIELD_BYTES = 152;
    /** The objects of a head without fields. */
    private static final long HEAD_BYTES = 512;

    private final LongPredicate memory;
    private int fields;

    private BoundedHttpHeaders(LongPredicate memory) {
        this.memory = memory;
    }

    /** Returns the configuration of a decoder whose heads and trailers are bounded in number of fields alone. */
    public static HttpDecoderConfig decoderConfig() {
        HttpHeadersFactory headers = factory(bytes -> true);
        return new HttpDecoderConfig().setHeadersFactory(headers).setTrailersFactory(headers);
    }

    /**
     * Returns a factory for the decoder of a connection.
     *
     * @param memory is called with the bytes of each field that is added; returns false if there is no memory left
     */
    public static HttpHeadersFactory factory(LongPredicate memory) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new BoundedHttpHeaders(memory);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new BoundedHttpHeaders(memory);
            }
        };
    }

    /**
     * {@inheritDoc}
     *
     * @throws TooLongHttpHeaderException if there are too many fields
     * @throws MemoryExhaustedException if there is no memory left for the field
     */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        fields++;
        if (fields > MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " fields");
        }
        if (!memory.test(fieldBytes(name, (CharSequence) value))) {
            throw new MemoryExhaustedException();
        }
        return super.add(name, value);
    }

    private static long fieldBytes(CharSequence name, CharSequence value) {
        return FIELD_BYTES + name.length() + value.length();
    }

    /** Returns about how many bytes of memory a head with these fields holds. */
    public static long memoryBytes(CharSequence uri, HttpHeaders headers) {
        long bytes = HEAD_BYTES + uri.length();
        var entries = headers.iteratorCharSequence();
        while (entries.hasNext()) {
            Map.Entry<CharSequence, CharSequence> entry = entries.next();
            bytes += fieldBytes(entry.getKey(), entry.getValue());
        }
        return bytes;
    }
}
