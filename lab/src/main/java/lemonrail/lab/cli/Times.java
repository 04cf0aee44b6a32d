package lemonrail.lab.cli;

import com.fasterxml.jackson.databind.node.TextNode;
import lemonrail.config.ValueType;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Times in options, as the files have them, in ms. */
public final class Times implements ITypeConverter<Double> {

    private static final double DAY_MS = 86_400_000;
    private static final ValueType<Double> TIME = ValueType.duration(0, DAY_MS);

    @Override
    public Double convert(String text) {
        return TIME.parse(TextNode.valueOf(text))
                .orElseThrow(() -> new TypeConversionException("'" + text + "' must be " + TIME.allowed()));
    }
}
