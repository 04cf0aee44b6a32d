package lemonrail.config;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/** Records which key of a file uses which address, because each address may be used only once. */
final class AddressRegistry {

    private final Map<InetSocketAddress, String> keysByAddress = new HashMap<>();

    /**
     * Returns the address of a key, or null if it has none; reports an address that another key already uses. Port 0
     * may be used more than once.
     */
    InetSocketAddress read(TableReader table, ConfigKey<InetSocketAddress> key) {
        InetSocketAddress address = table.get(key);
        if (address != null && address.getPort() != 0) {
            String otherKey = keysByAddress.putIfAbsent(address, table.path(key.name()));
            if (otherKey != null) {
                table.addProblem(key, "is already used by " + otherKey);
            }
        }
        return address;
    }
}
