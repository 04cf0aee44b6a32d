package lemonrail.config;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

/** The addresses that a file uses and the keys that use them; each address may be used once. */
final class AddressRegistry {

    private final Map<InetSocketAddress, String> keysByAddress = new HashMap<>();

    /** Reads the address of a key and reports one that another key uses; port 0 may be used more than once. */
    InetSocketAddress read(TableReader table, ConfigKey<InetSocketAddress> key) {
        InetSocketAddress address = table.get(key);
        if (address != null && address.getPort() != 0) {
            String otherKey = keysByAddress.putIfAbsent(address, table.path(key.name()));
            if (otherKey != null) {
                table.addProblem(key, "is taken by " + otherKey);
            }
        }
        return address;
    }
}
