package lemonrail.discovery;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import lemonrail.json.InvalidFieldException;

/** Reads socket addresses from fields of JSON documents. */
public final class SocketAddressReader {

    private SocketAddressReader() {}

    /**
     * Reads an address such as {@code 10.0.0.4:9000}. Host names are rejected, because names are not resolved.
     *
     * @param field the path of the field, which the exception names
     * @throws InvalidFieldException if the value is not an IP address with a port
     */
    public static InetSocketAddress read(String field, Object value) {
        if (!(value instanceof String text)) {
            throw new InvalidFieldException(field, value);
        }
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (ip == null) {
            throw new InvalidFieldException(field, value);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (UnknownHostException | IllegalArgumentException e) {
            throw new InvalidFieldException(field, value);
        }
    }
}
