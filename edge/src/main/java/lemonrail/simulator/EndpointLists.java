package lemonrail.simulator;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import lemonrail.core.balancer.Endpoint;

/** The endpoint lists that the simulator has defined, by number. A list is empty until it is defined. */
final class EndpointLists {

    private static final int MAX_LISTS = 16;

    private final List<List<Endpoint>> lists = new ArrayList<>(Collections.nCopies(MAX_LISTS, List.of()));

    void define(int listNumber, List<Endpoint> endpoints) throws MalformedBatchException {
        lists.set(requireInRange(listNumber), endpoints);
    }

    List<Endpoint> get(int listNumber) throws MalformedBatchException {
        return lists.get(requireInRange(listNumber));
    }

    private static int requireInRange(int listNumber) throws MalformedBatchException {
        if (listNumber < 0 || listNumber >= MAX_LISTS) {
            throw new MalformedBatchException("endpoint list number " + listNumber + " is out of range");
        }
        return listNumber;
    }
}
